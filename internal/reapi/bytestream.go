package reapi

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"topazhollow/internal/blob"
)

// resource is a name of ByteStream: [INSTANCE/][uploads/UUID/]blobs/HASH/SIZE, or
// compressed-blobs/zstd/HASH/SIZE; whatever follows an upload's size is not looked at.
type resource struct {
	instance string
	upload   string // UUID
	digest   blob.Digest
	packed   bool
}

// maxName bounds a resource's name, in bytes.
const maxName = 1024

func parseResource(name string, upload bool) (*resource, error) {
	bad := func(why string) (*resource, error) {
		return nil, status.Errorf(codes.InvalidArgument, "resource name %.200q: %s", name, why)
	}
	if len(name) > maxName {
		return bad("too long")
	}
	parts := strings.Split(name, "/")
	i := 0
	for i < len(parts) && parts[i] != "uploads" && parts[i] != "blobs" && parts[i] != "compressed-blobs" {
		i++
	}
	r := &resource{instance: strings.Join(parts[:i], "/")}
	parts = parts[i:]
	if len(parts) > 0 && (parts[0] == "uploads") != upload {
		return bad("uploads/UUID is for writing only, and needed there")
	}
	if upload {
		if len(parts) < 2 || parts[1] == "" || len(parts[1]) > 64 {
			return bad("a UUID is expected")
		}
		r.upload, parts = parts[1], parts[2:]
	}
	if len(parts) > 1 && parts[0] == "compressed-blobs" {
		if parts[1] != "zstd" {
			return bad("of compressors zstd is supported")
		}
		r.packed, parts = true, parts[1:]
	}
	if len(parts) < 3 || (!upload && len(parts) > 3) {
		return bad("blobs/HASH/SIZE is expected")
	}
	if !r.packed && parts[0] != "blobs" {
		return bad("blobs/HASH/SIZE is expected")
	}
	var err error
	if r.digest, err = blob.Parse(parts[1] + "/" + parts[2]); err != nil {
		return bad(err.Error())
	}
	return r, nil
}

// id names an upload, the same after a restart. A team can't meet another's.
func (r *resource) id(team string) [16]byte {
	h := sha256.Sum256([]byte(team + "\x00" + r.instance + "\x00" + r.upload + "\x00" + r.digest.String()))
	return [16]byte(h[:16])
}

// pieceBytes is how much of a blob goes in one message.
const pieceBytes = 256 << 10

// Read gives a blob from an offset on, packed if its name says so. The offset of a
// packed read counts unpacked bytes, as the API has it.
func (s *Server) Read(q *bytestream.ReadRequest, stream bytestream.ByteStream_ReadServer) error {
	r, err := parseResource(q.ResourceName, false)
	if err != nil {
		return err
	}
	in, err := s.instance(stream.Context(), r.instance)
	if err != nil {
		return err
	}
	switch {
	case q.ReadOffset < 0 || q.ReadOffset > r.digest.Size:
		return status.Errorf(codes.OutOfRange, "offset %d of %d", q.ReadOffset, r.digest.Size)
	case q.ReadLimit < 0 || (r.packed && q.ReadLimit != 0):
		return status.Error(codes.InvalidArgument, "read_limit is not negative, and 0 for packed reads")
	case r.digest == empty:
		return nil
	}
	content, err := s.Blobs.Open(in.Team, r.digest, q.ReadOffset)
	if err != nil {
		return fail(err)
	}
	defer content.Close()
	var from io.Reader = content
	if q.ReadLimit > 0 {
		from = io.LimitReader(content, q.ReadLimit)
	}
	out := &messages{stream: stream}
	if !r.packed {
		_, err = io.CopyBuffer(out, struct{ io.Reader }{from}, make([]byte, pieceBytes))
		return fail(err)
	}
	z, err := zstd.NewWriter(out, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return fail(err)
	}
	_, err = io.Copy(z, from)
	return fail(errors.Join(err, z.Close()))
}

// messages sends what is written as messages of a read.
type messages struct {
	stream bytestream.ByteStream_ReadServer
}

func (m *messages) Write(p []byte) (int, error) {
	for n := 0; n < len(p); n += pieceBytes {
		if err := m.stream.Send(&bytestream.ReadResponse{Data: p[n:min(n+pieceBytes, len(p))]}); err != nil {
			return n, err
		}
	}
	return len(p), nil
}

// Write takes a blob. One that broke off goes on at the offset that QueryWriteStatus
// gives, also after a restart; a packed one begins anew. A blob that is there already is
// answered at once.
func (s *Server) Write(stream bytestream.ByteStream_WriteServer) error {
	q, err := stream.Recv()
	if err != nil {
		return err
	}
	r, err := parseResource(q.ResourceName, true)
	if err != nil {
		return err
	}
	in, err := s.instance(stream.Context(), r.instance)
	if err != nil {
		return err
	}
	if r.digest.Size > s.Limits.Blob {
		return status.Errorf(codes.InvalidArgument, "a blob of %d bytes, %d are the most", r.digest.Size, s.Limits.Blob)
	}
	there := func() error {
		size := r.digest.Size
		if r.packed {
			size = -1 // as the API has it
		}
		return stream.SendAndClose(&bytestream.WriteResponse{CommittedSize: size})
	}
	if r.digest == empty {
		return there()
	}
	u, done, err := s.Blobs.BeginWithID(r.id(in.Team), in.Team, r.digest)
	if err != nil {
		return fail(err)
	}
	if done {
		return there()
	}
	var written int64
	if r.packed {
		written, err = s.writePacked(u, q, stream)
	} else {
		written, err = s.writePlain(u, q, stream)
	}
	if err != nil {
		return fail(err)
	}
	if u.Offset() < r.digest.Size {
		return status.Errorf(codes.InvalidArgument, "finished at %d of %d bytes", u.Offset(), r.digest.Size)
	}
	if err := u.Commit(stream.Context()); err != nil && !(errors.Is(err, blob.ErrUpload) && s.Blobs.Has(in.Team, r.digest)) {
		return fail(err)
	}
	return stream.SendAndClose(&bytestream.WriteResponse{CommittedSize: written})
}

// next gets the following message of a write; nil at its end.
func next(q *bytestream.WriteRequest, stream bytestream.ByteStream_WriteServer) (*bytestream.WriteRequest, error) {
	if q.FinishWrite {
		return nil, nil
	}
	n, err := stream.Recv()
	if err == io.EOF {
		return nil, status.Error(codes.Canceled, "the write ended without finish_write")
	}
	if err != nil {
		return nil, err
	}
	if n.ResourceName != "" && n.ResourceName != q.ResourceName && q.ResourceName != "" {
		return nil, status.Error(codes.InvalidArgument, "the resource name changed")
	}
	n.ResourceName = q.ResourceName
	return n, nil
}

func (s *Server) writePlain(u *blob.Upload, q *bytestream.WriteRequest, stream bytestream.ByteStream_WriteServer) (int64, error) {
	at := q.WriteOffset
	for q != nil {
		if q.WriteOffset != at {
			return 0, status.Errorf(codes.InvalidArgument, "write_offset %d, not %d", q.WriteOffset, at)
		}
		if err := u.Write(at, q.Data); err != nil {
			return 0, err
		}
		at += int64(len(q.Data))
		var err error
		if q, err = next(q, stream); err != nil {
			return 0, err
		}
	}
	return u.Digest().Size, nil
}

// writePacked unpacks what comes. More than the digest's size is refused by the upload.
func (s *Server) writePacked(u *blob.Upload, q *bytestream.WriteRequest, stream bytestream.ByteStream_WriteServer) (int64, error) {
	if q.WriteOffset != 0 {
		return 0, status.Error(codes.InvalidArgument, "a packed write begins at 0")
	}
	out, in := io.Pipe()
	received := make(chan int64, 1)
	go func() {
		var at int64
		var err error
		for q != nil && err == nil {
			if q.WriteOffset != at {
				err = status.Errorf(codes.InvalidArgument, "write_offset %d, not %d", q.WriteOffset, at)
				break
			}
			if _, err = in.Write(q.Data); err != nil {
				break
			}
			at += int64(len(q.Data))
			q, err = next(q, stream)
		}
		in.CloseWithError(err) // nil is the end
		received <- at
	}()
	z, err := zstd.NewReader(out, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
	if err == nil {
		defer z.Close()
		buf := make([]byte, pieceBytes)
		for at := int64(0); err == nil; {
			var n int
			n, err = z.Read(buf)
			if n > 0 {
				err = errors.Join(u.Write(at, buf[:n]), err)
				at += int64(n)
			}
		}
		if err == io.EOF || (errors.Is(err, io.EOF) && !errors.Is(err, blob.ErrMismatch)) {
			err = nil
		}
	}
	out.CloseWithError(errors.New("not wanted any more"))
	at := <-received
	if err != nil {
		if _, ok := status.FromError(err); !ok && !errors.Is(err, blob.ErrMismatch) {
			err = status.Errorf(codes.InvalidArgument, "zstd: %v", err)
		}
		return 0, err
	}
	return at, nil
}

// QueryWriteStatus tells how far a write has come.
func (s *Server) QueryWriteStatus(ctx context.Context, q *bytestream.QueryWriteStatusRequest) (*bytestream.QueryWriteStatusResponse, error) {
	r, err := parseResource(q.ResourceName, true)
	if err != nil {
		return nil, err
	}
	in, err := s.instance(ctx, r.instance)
	if err != nil {
		return nil, err
	}
	if r.digest == empty || s.Blobs.Has(in.Team, r.digest) {
		return &bytestream.QueryWriteStatusResponse{CommittedSize: r.digest.Size, Complete: true}, nil
	}
	id := r.id(in.Team)
	u, err := s.Blobs.Resume(in.Team, fmt.Sprintf("%x", id[:]))
	if err != nil {
		return nil, fail(err)
	}
	if r.packed {
		return &bytestream.QueryWriteStatusResponse{}, nil
	}
	return &bytestream.QueryWriteStatusResponse{CommittedSize: u.Offset()}, nil
}

// pageOf and token are page tokens: how many were given before.
func pageOf(t string) (int, error) {
	if t == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(t)
	if err != nil || n < 0 {
		return 0, status.Errorf(codes.InvalidArgument, "page token %.40q", t)
	}
	return n, nil
}

func token(n int) string { return strconv.Itoa(n) }
