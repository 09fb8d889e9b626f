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

// resource is a parsed ByteStream resource name: [INSTANCE/][uploads/UUID/]blobs/HASH/SIZE, or
// compressed-blobs/zstd/HASH/SIZE in place of blobs/HASH/SIZE. What follows the size of an upload is ignored.
type resource struct {
	instance   string
	upload     string // UUID, "" for a read
	digest     blob.Digest
	compressed bool // with zstd
}

// maxResourceNameBytes bounds the length of a resource name.
const maxResourceNameBytes = 1024

// parseResource parses the resource name of a write (upload) or a read.
func parseResource(name string, upload bool) (*resource, error) {
	invalid := func(reason string) (*resource, error) {
		return nil, status.Errorf(codes.InvalidArgument, "resource name %.200q: %s", name, reason)
	}
	if len(name) > maxResourceNameBytes {
		return invalid("too long")
	}
	parts := strings.Split(name, "/")
	i := 0
	for i < len(parts) && parts[i] != "uploads" && parts[i] != "blobs" && parts[i] != "compressed-blobs" {
		i++
	}
	r := &resource{instance: strings.Join(parts[:i], "/")}
	parts = parts[i:]
	if len(parts) > 0 && (parts[0] == "uploads") != upload {
		return invalid("uploads/UUID is required for writes and not allowed for reads")
	}
	if upload {
		if len(parts) < 2 || parts[1] == "" || len(parts[1]) > 64 {
			return invalid("a UUID is expected")
		}
		r.upload, parts = parts[1], parts[2:]
	}
	if len(parts) > 1 && parts[0] == "compressed-blobs" {
		if parts[1] != "zstd" {
			return invalid("unsupported compressor, only zstd is supported")
		}
		r.compressed, parts = true, parts[1:]
	}
	if len(parts) < 3 || (!upload && len(parts) > 3) {
		return invalid("blobs/HASH/SIZE is expected")
	}
	if !r.compressed && parts[0] != "blobs" {
		return invalid("blobs/HASH/SIZE is expected")
	}
	var err error
	if r.digest, err = blob.Parse(parts[1] + "/" + parts[2]); err != nil {
		return invalid(err.Error())
	}
	return r, nil
}

// uploadID returns the ID of an upload, which is the same after a restart. It covers the team, so that one team can't
// continue another's upload.
func (r *resource) uploadID(team string) [16]byte {
	h := sha256.Sum256([]byte(team + "\x00" + r.instance + "\x00" + r.upload + "\x00" + r.digest.String()))
	return [16]byte(h[:16])
}

// chunkBytes is the size of the blob data in one message of a read.
const chunkBytes = 256 << 10

// Read sends a blob from an offset on, compressed if the resource name asks for that. The API counts the offset of a
// compressed read in uncompressed bytes.
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
		return status.Errorf(codes.OutOfRange, "offset %d is outside the blob of %d bytes", q.ReadOffset, r.digest.Size)
	case q.ReadLimit < 0 || (r.compressed && q.ReadLimit != 0):
		return status.Error(codes.InvalidArgument, "read_limit must not be negative, and must be 0 for compressed reads")
	case r.digest == empty:
		return nil
	}
	content, err := s.Blobs.Open(in.Team, r.digest, q.ReadOffset)
	if err != nil {
		return statusError(err)
	}
	defer content.Close()
	var from io.Reader = content
	if q.ReadLimit > 0 {
		from = io.LimitReader(content, q.ReadLimit)
	}
	out := &chunkWriter{stream: stream}
	if !r.compressed {
		_, err = io.CopyBuffer(out, struct{ io.Reader }{from}, make([]byte, chunkBytes))
		return statusError(err)
	}
	z, err := zstd.NewWriter(out, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	if err != nil {
		return statusError(err)
	}
	_, err = io.Copy(z, from)
	return statusError(errors.Join(err, z.Close()))
}

// chunkWriter sends the data written to it as messages of a read, of at most chunkBytes each.
type chunkWriter struct {
	stream bytestream.ByteStream_ReadServer
}

func (w *chunkWriter) Write(p []byte) (int, error) {
	for n := 0; n < len(p); n += chunkBytes {
		if err := w.stream.Send(&bytestream.ReadResponse{Data: p[n:min(n+chunkBytes, len(p))]}); err != nil {
			return n, err
		}
	}
	return len(p), nil
}

// Write receives a blob. An interrupted write can be resumed at the offset that QueryWriteStatus returns, also after a
// restart of the server; an interrupted compressed write must start over. A write of a blob that the team already has is
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
	if r.digest.Size > s.Limits.BlobBytes {
		return status.Errorf(codes.InvalidArgument, "a blob of %d bytes exceeds the limit of %d", r.digest.Size, s.Limits.BlobBytes)
	}
	answerStored := func() error {
		size := r.digest.Size
		if r.compressed {
			size = -1 // the API's value for a compressed blob that is already stored
		}
		return stream.SendAndClose(&bytestream.WriteResponse{CommittedSize: size})
	}
	if r.digest == empty {
		return answerStored()
	}
	u, done, err := s.Blobs.BeginWithID(r.uploadID(in.Team), in.Team, r.digest)
	if err != nil {
		return statusError(err)
	}
	if done {
		return answerStored()
	}
	var written int64
	if r.compressed {
		written, err = s.writeCompressed(u, q, stream)
	} else {
		written, err = s.writeUncompressed(u, q, stream)
	}
	if err != nil {
		return statusError(err)
	}
	if u.Offset() < r.digest.Size {
		return status.Errorf(codes.InvalidArgument, "the write finished after %d of %d bytes", u.Offset(), r.digest.Size)
	}
	if err := u.Commit(stream.Context()); err != nil && !(errors.Is(err, blob.ErrUpload) && s.Blobs.Has(in.Team, r.digest)) {
		return statusError(err)
	}
	return stream.SendAndClose(&bytestream.WriteResponse{CommittedSize: written})
}

// nextRequest returns the message of a write that follows q, nil if q is the last.
func nextRequest(q *bytestream.WriteRequest, stream bytestream.ByteStream_WriteServer) (*bytestream.WriteRequest, error) {
	if q.FinishWrite {
		return nil, nil
	}
	n, err := stream.Recv()
	if err == io.EOF {
		return nil, status.Error(codes.Canceled, "the write ended before finish_write")
	}
	if err != nil {
		return nil, err
	}
	if n.ResourceName != "" && n.ResourceName != q.ResourceName && q.ResourceName != "" {
		return nil, status.Error(codes.InvalidArgument, "the resource name changed within a write")
	}
	n.ResourceName = q.ResourceName
	return n, nil
}

// writeUncompressed writes the messages' data to an upload and returns the blob's size.
func (s *Server) writeUncompressed(u *blob.Upload, q *bytestream.WriteRequest, stream bytestream.ByteStream_WriteServer) (int64, error) {
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
		if q, err = nextRequest(q, stream); err != nil {
			return 0, err
		}
	}
	return u.Digest().Size, nil
}

// writeCompressed decompresses the messages' data into an upload and returns the number of compressed bytes received.
// The upload refuses more bytes than the digest's size.
func (s *Server) writeCompressed(u *blob.Upload, q *bytestream.WriteRequest, stream bytestream.ByteStream_WriteServer) (int64, error) {
	if q.WriteOffset != 0 {
		return 0, status.Error(codes.InvalidArgument, "a compressed write must start at offset 0")
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
			q, err = nextRequest(q, stream)
		}
		in.CloseWithError(err) // nil means end of data
		received <- at
	}()
	z, err := zstd.NewReader(out, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
	if err == nil {
		defer z.Close()
		buf := make([]byte, chunkBytes)
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
	out.CloseWithError(errors.New("decompression has ended"))
	at := <-received
	if err != nil {
		if _, ok := status.FromError(err); !ok && !errors.Is(err, blob.ErrMismatch) {
			err = status.Errorf(codes.InvalidArgument, "zstd: %v", err)
		}
		return 0, err
	}
	return at, nil
}

// QueryWriteStatus returns the offset up to which a write is stored; 0 for a compressed one, which can't be resumed.
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
	id := r.uploadID(in.Team)
	u, err := s.Blobs.Resume(in.Team, fmt.Sprintf("%x", id[:]))
	if err != nil {
		return nil, statusError(err)
	}
	if r.compressed {
		return &bytestream.QueryWriteStatusResponse{}, nil
	}
	return &bytestream.QueryWriteStatusResponse{CommittedSize: u.Offset()}, nil
}

// parsePageToken parses a page token of GetTree: the number of directories on the pages before it.
func parsePageToken(t string) (int, error) {
	if t == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(t)
	if err != nil || n < 0 {
		return 0, status.Errorf(codes.InvalidArgument, "invalid page token %.40q", t)
	}
	return n, nil
}

// pageToken returns the page token of GetTree for the page after n directories.
func pageToken(n int) string { return strconv.Itoa(n) }
