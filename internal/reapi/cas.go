package reapi

import (
	"bytes"
	"context"
	"io"

	re "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"topazhollow/internal/blob"
)

// empty is the digest of nothing, which is always there.
var empty = blob.DigestOf(nil)

// FindMissingBlobs lists those of some blobs that the instance's team does not have. The
// others count as used now, so that they stay for as long as unused blobs do.
func (s *Server) FindMissingBlobs(ctx context.Context, r *re.FindMissingBlobsRequest) (*re.FindMissingBlobsResponse, error) {
	in, err := s.using(ctx, r.InstanceName, r.DigestFunction)
	if err != nil {
		return nil, err
	}
	if len(r.BlobDigests) > s.Limits.Digests {
		return nil, status.Errorf(codes.InvalidArgument, "%d digests, %d are the most", len(r.BlobDigests), s.Limits.Digests)
	}
	ds := make([]blob.Digest, 0, len(r.BlobDigests))
	for _, d := range r.BlobDigests {
		b, err := s.digest(d)
		if err != nil {
			return nil, err
		}
		if b != empty {
			ds = append(ds, b)
		}
	}
	out := &re.FindMissingBlobsResponse{}
	for _, d := range s.Blobs.Missing(in.Team, ds) {
		out.MissingBlobDigests = append(out.MissingBlobDigests, digestProto(d))
	}
	return out, nil
}

// fits refuses a batch beyond the limits.
func (s *Server) fits(blobs int, bytes int64) error {
	if bytes > s.Limits.Batch || blobs > s.Limits.Digests {
		return status.Errorf(codes.InvalidArgument, "a batch of %d blobs and %d bytes, %d bytes are the most", blobs, bytes, s.Limits.Batch)
	}
	return nil
}

// BatchUpdateBlobs takes small blobs; each has its own status.
func (s *Server) BatchUpdateBlobs(ctx context.Context, r *re.BatchUpdateBlobsRequest) (*re.BatchUpdateBlobsResponse, error) {
	in, err := s.using(ctx, r.InstanceName, r.DigestFunction)
	if err != nil {
		return nil, err
	}
	total := int64(0)
	for _, q := range r.Requests {
		total += int64(len(q.Data))
	}
	if err := s.fits(len(r.Requests), total); err != nil {
		return nil, err
	}
	out := &re.BatchUpdateBlobsResponse{}
	for _, q := range r.Requests {
		err := s.update(ctx, in.Team, q)
		out.Responses = append(out.Responses, &re.BatchUpdateBlobsResponse_Response{Digest: q.Digest, Status: status.Convert(fail(err)).Proto()})
	}
	return out, nil
}

func (s *Server) update(ctx context.Context, team string, q *re.BatchUpdateBlobsRequest_Request) error {
	d, err := s.digest(q.Digest)
	if err != nil {
		return err
	}
	data := q.Data
	switch q.Compressor {
	case re.Compressor_IDENTITY:
	case re.Compressor_ZSTD:
		if d.Size > s.Limits.Batch {
			return status.Errorf(codes.InvalidArgument, "unpacked %d bytes, %d are the most", d.Size, s.Limits.Batch)
		}
		if data, err = unpack(data, d.Size); err != nil {
			return err
		}
	default:
		return status.Errorf(codes.InvalidArgument, "compressor %s is not supported", q.Compressor)
	}
	if blob.DigestOf(data) != d {
		return blob.ErrMismatch
	}
	_, err = s.Blobs.Put(ctx, team, data)
	return err
}

// unpack gives what zstd packed, if that is of a size; never more than one byte more is
// read.
func unpack(data []byte, size int64) ([]byte, error) {
	z, err := zstd.NewReader(bytes.NewReader(data), zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	b, err := io.ReadAll(io.LimitReader(z, size+1))
	if err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "zstd: %v", err)
	}
	return b, nil
}

// BatchReadBlobs gives small blobs; each has its own status.
func (s *Server) BatchReadBlobs(ctx context.Context, r *re.BatchReadBlobsRequest) (*re.BatchReadBlobsResponse, error) {
	in, err := s.using(ctx, r.InstanceName, r.DigestFunction)
	if err != nil {
		return nil, err
	}
	total := int64(0)
	for _, d := range r.Digests {
		b, err := s.digest(d)
		if err != nil {
			return nil, err
		}
		total += b.Size
	}
	if err := s.fits(len(r.Digests), total); err != nil {
		return nil, err
	}
	out := &re.BatchReadBlobsResponse{}
	for _, q := range r.Digests {
		d, err := s.digest(q)
		var data []byte
		if err == nil {
			data, err = s.whole(in.Team, d)
		}
		out.Responses = append(out.Responses, &re.BatchReadBlobsResponse_Response{Digest: q, Data: data, Status: status.Convert(fail(err)).Proto()})
	}
	return out, nil
}

func (s *Server) whole(team string, d blob.Digest) ([]byte, error) {
	if d == empty {
		return nil, nil
	}
	return s.Blobs.Get(team, d, s.Limits.Blob)
}

// GetTree gives a directory and all below it, each once, in pages of at most a batch. The
// page token is how many were given before.
func (s *Server) GetTree(r *re.GetTreeRequest, stream re.ContentAddressableStorage_GetTreeServer) error {
	in, err := s.using(stream.Context(), r.InstanceName, r.DigestFunction)
	if err != nil {
		return err
	}
	root, err := s.digest(r.RootDigest)
	if err != nil {
		return err
	}
	skip, err := pageOf(r.PageToken)
	if err != nil {
		return err
	}
	page := &re.GetTreeResponse{}
	size, given := 0, 0
	err = s.tree(in.Team, root, func(dir *re.Directory, bytes int) error {
		if given++; given <= skip {
			return nil
		}
		if len(page.Directories) > 0 && (int64(size+bytes) > s.Limits.Batch/2 || (r.PageSize > 0 && len(page.Directories) >= int(r.PageSize))) {
			page.NextPageToken = token(given - 1)
			if err := stream.Send(page); err != nil {
				return err
			}
			page, size = &re.GetTreeResponse{}, 0
		}
		page.Directories = append(page.Directories, dir)
		size += bytes
		return nil
	})
	if err != nil {
		return fail(err)
	}
	return stream.Send(page)
}

// tree walks over a directory and all below it, breadth first, each once.
func (s *Server) tree(team string, root blob.Digest, each func(d *re.Directory, bytes int) error) error {
	seen := map[blob.Digest]bool{root: true}
	for queue := []blob.Digest{root}; len(queue) > 0; queue = queue[1:] {
		data, err := s.whole(team, queue[0])
		if err != nil {
			return err
		}
		dir := &re.Directory{}
		if err := proto.Unmarshal(data, dir); err != nil {
			return status.Errorf(codes.InvalidArgument, "%s is no directory: %v", queue[0], err)
		}
		if err := each(dir, len(data)); err != nil {
			return err
		}
		for _, n := range dir.Directories {
			d, err := s.digest(n.Digest)
			if err != nil {
				return err
			}
			if !seen[d] {
				if seen[d] = true; len(seen) > s.Limits.Tree {
					return status.Errorf(codes.InvalidArgument, "a tree of more than %d directories", s.Limits.Tree)
				}
				queue = append(queue, d)
			}
		}
	}
	return nil
}

// SplitBlob is not supported, and the capabilities say so.
func (s *Server) SplitBlob(context.Context, *re.SplitBlobRequest) (*re.SplitBlobResponse, error) {
	return nil, status.Error(codes.Unimplemented, "SplitBlob is not supported")
}

// SpliceBlob is not supported, and the capabilities say so.
func (s *Server) SpliceBlob(context.Context, *re.SpliceBlobRequest) (*re.SpliceBlobResponse, error) {
	return nil, status.Error(codes.Unimplemented, "SpliceBlob is not supported")
}
