package reapi

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	re "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

var key = []byte("0123456789abcdef")

// client is a build tool's client, which uses the gRPC protocol over loopback.
type client struct {
	t    *testing.T
	ctx  context.Context
	stop func()
	conn *grpc.ClientConn
	cas  re.ContentAddressableStorageClient
	ac   re.ActionCacheClient
	bs   bytestream.ByteStreamClient
	caps re.CapabilitiesClient
	exec re.ExecutionClient
}

// authorized returns a context with a token for an instance.
func authorized(instance string) context.Context {
	g := artifactstore.Grant{Right: artifactstore.Build, Job: instance, Until: time.Now().Add(time.Hour)}
	return metadata.AppendToOutgoingContext(context.Background(), "authorization", "Bearer "+g.Token(key))
}

// serve runs a server on a directory, with settings that tune may change, and returns a client of instance main.
func serve(t *testing.T, dir string, tune func(*Config)) *client {
	t.Helper()
	c := DefaultConfig()
	c.Listen, c.Dir, c.ScrubMB = "127.0.0.1:0", dir, 0
	c.Instances = []Instance{{Name: "main", Team: "red", CacheWrites: true}, {Name: "toll/blue", Team: "blue"}}
	if tune != nil {
		tune(&c)
	}
	if err := c.check(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ready, ended := make(chan string, 1), make(chan error, 1)
	go func() { ended <- Serve(ctx, c, key, slog.New(slog.DiscardHandler), func(a string) { ready <- a }) }()
	var addr string
	select {
	case addr = <-ready:
	case err := <-ended:
		t.Fatal(err)
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	stopped := false
	x := &client{t: t, ctx: authorized("main"), conn: conn, cas: re.NewContentAddressableStorageClient(conn), ac: re.NewActionCacheClient(conn),
		bs: bytestream.NewByteStreamClient(conn), caps: re.NewCapabilitiesClient(conn), exec: re.NewExecutionClient(conn)}
	x.stop = func() {
		if stopped {
			return
		}
		stopped = true
		conn.Close()
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(x.stop)
	return x
}

// randomBytes returns n pseudorandom bytes, which do not compress.
func randomBytes(n int, seed uint64) []byte {
	r := rand.New(rand.NewPCG(seed, 1))
	b := make([]byte, n)
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	return b
}

// send sends the messages of a ByteStream write and returns the committed size.
func (x *client) send(ctx context.Context, name string, offset int64, chunks [][]byte, finish bool) (int64, error) {
	w, err := x.bs.Write(ctx)
	if err != nil {
		return 0, err
	}
	for i, p := range chunks {
		if err := w.Send(&bytestream.WriteRequest{ResourceName: name, WriteOffset: offset, Data: p, FinishWrite: finish && i == len(chunks)-1}); err != nil {
			break // the response has the reason
		}
		offset += int64(len(p))
	}
	a, err := w.CloseAndRecv()
	return a.GetCommittedSize(), err
}

// read reads a resource from an offset on and returns its data.
func (x *client) read(ctx context.Context, name string, offset, limit int64) ([]byte, error) {
	r, err := x.bs.Read(ctx, &bytestream.ReadRequest{ResourceName: name, ReadOffset: offset, ReadLimit: limit})
	if err != nil {
		return nil, err
	}
	var out []byte
	for {
		m, err := r.Recv()
		if err == io.EOF {
			return out, nil
		}
		if err != nil {
			return out, err
		}
		out = append(out, m.Data...)
	}
}

// expectCode checks the status code of a call.
func expectCode(t *testing.T, what string, err error, code codes.Code) {
	t.Helper()
	if status.Code(err) != code {
		t.Errorf("%s: %v, not %v", what, err, code)
	}
}

// TestByteStream checks that an interrupted write resumes at its offset, also after a restart of the server, that a
// compressed write is decompressed, and that data that doesn't match its digest is refused and can't be read.
func TestByteStream(t *testing.T) {
	dir := t.TempDir()
	x := serve(t, dir, nil)
	data := randomBytes(700_000, 1)
	d := blob.DigestOf(data)
	name := "main/uploads/0e0f/blobs/" + d.String()
	if _, err := x.send(x.ctx, name, 0, [][]byte{data[:300_000]}, false); err == nil {
		t.Fatal("a write without finish_write was answered")
	}
	st, err := x.bs.QueryWriteStatus(x.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: name})
	if err != nil || st.CommittedSize != 300_000 || st.Complete {
		t.Fatalf("%+v %v", st, err)
	}
	_, err = x.read(x.ctx, "main/blobs/"+d.String(), 0, 0)
	expectCode(t, "half a blob", err, codes.NotFound)
	x.stop()
	x = serve(t, dir, nil)
	if st, err := x.bs.QueryWriteStatus(x.ctx, &bytestream.QueryWriteStatusRequest{ResourceName: name}); err != nil || st.CommittedSize != 300_000 {
		t.Fatalf("after a restart: %+v %v", st, err)
	}
	_, err = x.send(x.ctx, name, 400_000, [][]byte{data[400_000:]}, true)
	expectCode(t, "a gap", err, codes.OutOfRange)
	if n, err := x.send(x.ctx, name, 300_000, [][]byte{data[300_000:500_000], data[500_000:]}, true); err != nil || n != d.Size {
		t.Fatalf("%d %v", n, err)
	}
	if n, err := x.send(x.ctx, "main/uploads/another/blobs/"+d.String(), 0, [][]byte{data[:10]}, false); err != nil || n != d.Size {
		t.Fatalf("write of a stored blob: %d %v", n, err)
	}
	for _, c := range []struct{ offset, limit, from, to int64 }{{0, 0, 0, 700_000}, {10, 0, 10, 700_000}, {10, 5, 10, 15}, {700_000, 0, 0, 0}} {
		got, err := x.read(x.ctx, "main/blobs/"+d.String(), c.offset, c.limit)
		if err != nil || !bytes.Equal(got, data[c.from:c.to]) {
			t.Fatalf("%+v: %d bytes, %v", c, len(got), err)
		}
	}
	_, err = x.read(x.ctx, "main/blobs/"+d.String(), 700_001, 0)
	expectCode(t, "beyond the end", err, codes.OutOfRange)

	text := bytes.Repeat([]byte("a line of output\n"), 50_000)
	td := blob.DigestOf(text)
	var packed bytes.Buffer
	z, _ := zstd.NewWriter(&packed)
	if _, err := z.Write(text); err != nil {
		t.Fatal(err)
	}
	z.Close()
	p := packed.Bytes()
	if n, err := x.send(x.ctx, "main/uploads/1/compressed-blobs/zstd/"+td.String(), 0, [][]byte{p[:10], p[10:]}, true); err != nil || n != int64(len(p)) {
		t.Fatalf("compressed write: %d %v", n, err)
	}
	got, err := x.read(x.ctx, "main/compressed-blobs/zstd/"+td.String(), 17, 0)
	if err == nil {
		got, err = decompress(got, td.Size)
	}
	if err != nil || !bytes.Equal(got, text[17:]) {
		t.Fatalf("compressed read: %d bytes, %v", len(got), err)
	}
	// A blob larger than its digest says once decompressed, invalid zstd data, a wrong digest and wrong sizes.
	wrong := blob.Digest{Hash: td.Hash, Size: 100}
	_, err = x.send(x.ctx, "main/uploads/2/compressed-blobs/zstd/"+wrong.String(), 0, [][]byte{p}, true)
	expectCode(t, "a decompression bomb", err, codes.InvalidArgument)
	_, err = x.send(x.ctx, "main/uploads/3/compressed-blobs/zstd/"+blob.DigestOf([]byte("x")).String(), 0, [][]byte{[]byte("nonsense")}, true)
	expectCode(t, "invalid zstd data", err, codes.InvalidArgument)
	_, err = x.send(x.ctx, "main/uploads/4/blobs/"+blob.DigestOf([]byte("abc")).String(), 0, [][]byte{[]byte("abd")}, true)
	expectCode(t, "a wrong digest", err, codes.InvalidArgument)
	_, err = x.send(x.ctx, "main/uploads/5/blobs/"+blob.DigestOf([]byte("abc")).String(), 0, [][]byte{[]byte("abcd")}, true)
	expectCode(t, "too long", err, codes.InvalidArgument)
	_, err = x.send(x.ctx, "main/uploads/6/blobs/"+blob.DigestOf([]byte("abc")).String(), 0, [][]byte{[]byte("ab")}, true)
	expectCode(t, "too short", err, codes.InvalidArgument)
	for _, name := range []string{"", "main/blobs/x/3", "main/blobs/" + d.String() + "/more", "main/uploads/u/blobs/" + d.String(), "main/compressed-blobs/deflate/" + d.String(), strings.Repeat("a", 2000)} {
		_, err := x.read(x.ctx, name, 0, 0)
		expectCode(t, fmt.Sprintf("name %.40q", name), err, codes.InvalidArgument)
	}
}

// TestInstances checks that a token is valid for its own instance only, and that a team can't read another team's blobs
// by naming their digests.
func TestInstances(t *testing.T) {
	x := serve(t, t.TempDir(), nil)
	data := []byte("a team's own")
	d := digestProto(blob.DigestOf(data))
	up, err := x.cas.BatchUpdateBlobs(x.ctx, &re.BatchUpdateBlobsRequest{InstanceName: "main", Requests: []*re.BatchUpdateBlobsRequest_Request{{Digest: d, Data: data}}})
	if err != nil || up.Responses[0].Status.GetCode() != 0 {
		t.Fatalf("%v %v", up, err)
	}
	blue := authorized("toll/blue")
	m, err := x.cas.FindMissingBlobs(blue, &re.FindMissingBlobsRequest{InstanceName: "toll/blue", BlobDigests: []*re.Digest{d}})
	if err != nil || len(m.MissingBlobDigests) != 1 {
		t.Fatalf("%v %v", m, err)
	}
	r, err := x.cas.BatchReadBlobs(blue, &re.BatchReadBlobsRequest{InstanceName: "toll/blue", Digests: []*re.Digest{d}})
	if err != nil || r.Responses[0].Status.GetCode() != int32(codes.NotFound) || len(r.Responses[0].Data) > 0 {
		t.Fatalf("%v %v", r, err)
	}
	_, err = x.cas.FindMissingBlobs(blue, &re.FindMissingBlobsRequest{InstanceName: "main"})
	expectCode(t, "another team's instance", err, codes.PermissionDenied)
	_, err = x.cas.FindMissingBlobs(authorized("none"), &re.FindMissingBlobsRequest{InstanceName: "none"})
	expectCode(t, "no such instance", err, codes.NotFound)
	_, err = x.cas.FindMissingBlobs(context.Background(), &re.FindMissingBlobsRequest{InstanceName: "main"})
	expectCode(t, "no token", err, codes.Unauthenticated)
	read := artifactstore.Grant{Right: artifactstore.Read, Job: "main", Until: time.Now().Add(time.Hour)}.Token(key)
	_, err = x.caps.GetCapabilities(metadata.AppendToOutgoingContext(context.Background(), "authorization", "Bearer "+read), &re.GetCapabilitiesRequest{InstanceName: "main"})
	expectCode(t, "a token without the right to build", err, codes.PermissionDenied)
	c, err := x.caps.GetCapabilities(x.ctx, &re.GetCapabilitiesRequest{InstanceName: "main"})
	if err != nil || !c.CacheCapabilities.ActionCacheUpdateCapabilities.UpdateEnabled || c.ExecutionCapabilities.GetExecEnabled() {
		t.Errorf("%v %v", c, err)
	}
	e, err := x.exec.Execute(x.ctx, &re.ExecuteRequest{InstanceName: "main"})
	if err == nil {
		_, err = e.Recv()
	}
	expectCode(t, "execution", err, codes.Unimplemented)
}

// TestBatches checks that each blob of a batch has its own status, that requests beyond a limit or for an unsupported
// feature are refused, and that the error of a full store has a retry delay.
func TestBatches(t *testing.T) {
	x := serve(t, t.TempDir(), func(c *Config) { c.MaxBatchMB, c.QuotaGB, c.MaxDigests = 0.1, 0.01, 50 })
	good, bad, big := []byte("good"), []byte("bad"), randomBytes(20_000_000, 2)
	up, err := x.cas.BatchUpdateBlobs(x.ctx, &re.BatchUpdateBlobsRequest{InstanceName: "main", Requests: []*re.BatchUpdateBlobsRequest_Request{
		{Digest: digestProto(blob.DigestOf(good)), Data: good}, {Digest: digestProto(blob.DigestOf(good)), Data: bad}, {Digest: &re.Digest{Hash: "x"}}, {Digest: digestProto(blob.DigestOf(bad)), Data: bad, Compressor: re.Compressor_BROTLI}}})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []codes.Code{codes.OK, codes.InvalidArgument, codes.InvalidArgument, codes.InvalidArgument} {
		if got := up.Responses[i].Status.GetCode(); got != int32(want) {
			t.Errorf("blob %d: %v, not %v", i, up.Responses[i].Status, want)
		}
	}
	_, err = x.cas.BatchUpdateBlobs(x.ctx, &re.BatchUpdateBlobsRequest{InstanceName: "main", Requests: []*re.BatchUpdateBlobsRequest_Request{{Digest: digestProto(blob.DigestOf(big)), Data: big[:200_000]}}})
	expectCode(t, "a large batch", err, codes.InvalidArgument)
	_, err = x.cas.FindMissingBlobs(x.ctx, &re.FindMissingBlobsRequest{InstanceName: "main", BlobDigests: make([]*re.Digest, 51)})
	expectCode(t, "many digests", err, codes.InvalidArgument)
	_, err = x.cas.FindMissingBlobs(x.ctx, &re.FindMissingBlobsRequest{InstanceName: "main", DigestFunction: re.DigestFunction_MD5})
	expectCode(t, "MD5", err, codes.InvalidArgument)
	_, err = x.send(x.ctx, "main/uploads/1/blobs/"+blob.DigestOf(big).String(), 0, [][]byte{big[:10]}, true)
	expectCode(t, "a full store", err, codes.ResourceExhausted)
	retry := false
	for _, detail := range status.Convert(err).Details() {
		if r, ok := detail.(*errdetails.RetryInfo); ok && r.RetryDelay.AsDuration() > 0 {
			retry = true
		}
	}
	if !retry {
		t.Error("the error of a full store has no retry delay")
	}
	_, err = x.cas.SplitBlob(x.ctx, &re.SplitBlobRequest{InstanceName: "main"})
	expectCode(t, "SplitBlob", err, codes.Unimplemented)
}

// TestTree checks that GetTree returns a directory and all below it in pages, with a shared child only once, and refuses
// a tree beyond the limit.
func TestTree(t *testing.T) {
	x := serve(t, t.TempDir(), func(c *Config) { c.MaxTreeDirectories = 30 })
	put := func(m proto.Message) *re.Digest {
		t.Helper()
		data, err := proto.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		d := digestProto(blob.DigestOf(data))
		if _, err := x.cas.BatchUpdateBlobs(x.ctx, &re.BatchUpdateBlobsRequest{InstanceName: "main", Requests: []*re.BatchUpdateBlobsRequest_Request{{Digest: d, Data: data}}}); err != nil {
			t.Fatal(err)
		}
		return d
	}
	leaf := put(&re.Directory{Files: []*re.FileNode{{Name: "f", Digest: digestProto(blob.DigestOf([]byte("f")))}}})
	dir := &re.Directory{}
	for i := range 20 {
		d := put(&re.Directory{Directories: []*re.DirectoryNode{{Name: "shared", Digest: leaf}}, Files: []*re.FileNode{{Name: fmt.Sprint(i), Digest: digestProto(blob.DigestOf([]byte("f")))}}})
		dir.Directories = append(dir.Directories, &re.DirectoryNode{Name: fmt.Sprint(i), Digest: d})
	}
	root := put(dir)
	pages, seen := 0, 0
	walk := func(token string) (last string) {
		t.Helper()
		r, err := x.cas.GetTree(x.ctx, &re.GetTreeRequest{InstanceName: "main", RootDigest: root, PageSize: 5, PageToken: token})
		if err != nil {
			t.Fatal(err)
		}
		for {
			p, err := r.Recv()
			if err == io.EOF {
				return last
			}
			if err != nil {
				t.Fatal(err)
			}
			if pages == 0 && token == "" {
				last = p.NextPageToken
			}
			pages++
			seen += len(p.Directories)
		}
	}
	token := walk("")
	if pages != 5 || seen != 22 { // the root, 20 children and the leaf that they share
		t.Errorf("%d directories in %d pages", seen, pages)
	}
	seen = 0
	if walk(token); seen != 17 {
		t.Errorf("from the second page on: %d directories", seen)
	}
	for i := range 15 {
		d := put(&re.Directory{Files: []*re.FileNode{{Name: fmt.Sprint("more", i), Digest: leaf}}})
		dir.Directories = append(dir.Directories, &re.DirectoryNode{Name: fmt.Sprint("m", i), Digest: d})
	}
	r, err := x.cas.GetTree(x.ctx, &re.GetTreeRequest{InstanceName: "main", RootDigest: put(dir)})
	for err == nil {
		_, err = r.Recv()
	}
	expectCode(t, "a large tree", err, codes.InvalidArgument)
	r, err = x.cas.GetTree(x.ctx, &re.GetTreeRequest{InstanceName: "main", RootDigest: digestProto(blob.DigestOf([]byte("nowhere")))})
	if err == nil {
		_, err = r.Recv()
	}
	expectCode(t, "no such tree", err, codes.NotFound)
}

// TestActionCache checks that a result is cached only when all blobs that it names are stored, that these blobs are not
// garbage-collected, and that a result whose blob was lost is not returned.
func TestActionCache(t *testing.T) {
	dir := t.TempDir()
	x := serve(t, dir, func(c *Config) { c.UnreferencedHours = 0.1 })
	action := digestProto(blob.DigestOf([]byte("an action")))
	out := randomBytes(50_000, 3)
	result := &re.ActionResult{ExitCode: 3, OutputFiles: []*re.OutputFile{{Path: "out", Digest: digestProto(blob.DigestOf(out))}}, StdoutDigest: digestProto(blob.DigestOf(nil))}
	_, err := x.ac.GetActionResult(x.ctx, &re.GetActionResultRequest{InstanceName: "main", ActionDigest: action})
	expectCode(t, "an action without a result", err, codes.NotFound)
	update := &re.UpdateActionResultRequest{InstanceName: "main", ActionDigest: action, ActionResult: result}
	_, err = x.ac.UpdateActionResult(x.ctx, update)
	expectCode(t, "a result without its blobs", err, codes.FailedPrecondition)
	named := false
	for _, detail := range status.Convert(err).Details() {
		if p, ok := detail.(*errdetails.PreconditionFailure); ok && len(p.Violations) == 1 && p.Violations[0].Type == "MISSING" && p.Violations[0].Subject == "blobs/"+blob.DigestOf(out).String() {
			named = true
		}
	}
	if !named {
		t.Errorf("the error does not name the missing blob: %v", err)
	}
	if _, err := x.send(x.ctx, "main/uploads/1/blobs/"+blob.DigestOf(out).String(), 0, [][]byte{out}, true); err != nil {
		t.Fatal(err)
	}
	if _, err := x.ac.UpdateActionResult(x.ctx, update); err != nil {
		t.Fatal(err)
	}
	blue := authorized("toll/blue")
	_, err = x.ac.GetActionResult(blue, &re.GetActionResultRequest{InstanceName: "toll/blue", ActionDigest: action})
	expectCode(t, "another instance's result", err, codes.NotFound)
	_, err = x.ac.UpdateActionResult(blue, &re.UpdateActionResultRequest{InstanceName: "toll/blue", ActionDigest: action, ActionResult: &re.ActionResult{}})
	expectCode(t, "an instance without cache writes", err, codes.PermissionDenied)
	x.stop()
	// A collection long after the last use keeps the blobs that the result names.
	later := func() time.Time { return time.Now().Add(24 * time.Hour) }
	s, err := blob.Open(blob.Options{Dir: dir, Now: later})
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := s.Collect(context.Background(), time.Hour); err != nil {
		t.Fatal(err)
	}
	s.Close()
	x = serve(t, dir, nil)
	got, err := x.ac.GetActionResult(x.ctx, &re.GetActionResultRequest{InstanceName: "main", ActionDigest: action})
	if err != nil || !proto.Equal(got, result) {
		t.Fatalf("%v %v", got, err)
	}
	x.stop()
	hash, _, _ := strings.Cut(blob.DigestOf(out).String(), "/")
	files, err := filepath.Glob(filepath.Join(dir, "objects", hash[:2], hash+"*"))
	if err != nil || len(files) != 1 {
		t.Fatalf("%v %v", files, err)
	}
	if err := os.Remove(files[0]); err != nil {
		t.Fatal(err)
	}
	if s, err = blob.Open(blob.Options{Dir: dir}); err != nil {
		t.Fatal(err)
	}
	if _, err := s.Scrub(context.Background(), 1e12); err != nil {
		t.Fatal(err)
	}
	s.Close()
	x = serve(t, dir, nil)
	_, err = x.ac.GetActionResult(x.ctx, &re.GetActionResultRequest{InstanceName: "main", ActionDigest: action})
	expectCode(t, "a result whose blob is gone", err, codes.NotFound)
}

// TestConfig checks that the error for an invalid setting names the field.
func TestConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "build.toml")
	const in = "[[instance]]\nname = \"a\"\nteam = \"red\"\n"
	for text, want := range map[string]string{"": "field instance", "lisen = 1\n" + in: "field lisen", "listen = \"0.0.0.0:1\"\n" + in: "tls.cert", "batch_mb = 0.0\n" + in: "field batch_mb",
		in + in: "twice", "[[instance]]\nname = \"a/blobs\"\nteam = \"r\"": "instance[0].name", "[[instance]]\nname = \"a\"": "instance[0].team"} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := LoadConfig(path); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
	if _, err := LoadConfig("../../deploy/build.toml"); err != nil {
		t.Error(err)
	}
}

// FuzzResource checks that a name that parses contains the parsed digest, and that its instance does not contain the
// parts that follow it.
func FuzzResource(f *testing.F) {
	d := blob.DigestOf([]byte("x")).String()
	for _, name := range []string{"blobs/" + d, "a/b/blobs/" + d, "a/uploads/u/blobs/" + d + "/name", "compressed-blobs/zstd/" + d, "uploads//blobs/" + d} {
		f.Add(name, true)
		f.Add(name, false)
	}
	f.Fuzz(func(t *testing.T, name string, upload bool) {
		r, err := parseResource(name, upload)
		if err != nil {
			return
		}
		if !strings.Contains(name, r.digest.String()) || strings.Contains("/"+r.instance+"/", "/blobs/") || (r.upload != "") != upload {
			t.Fatalf("%q is %+v", name, r)
		}
	})
}
