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

// empty is the digest of the empty blob, which every team has without storing it.
var empty = blob.DigestOf(nil)

// FindMissingBlobs lists the requested blobs that the instance's team does not have. It marks the others as just used,
// which restarts their retention time.
func (s *Server) FindMissingBlobs(ctx context.Context, r *re.FindMissingBlobsRequest) (*re.FindMissingBlobsResponse, error) {
	in, err := s.instanceForDigest(ctx, r.InstanceName, r.DigestFunction)
	if err != nil {
		return nil, err
	}
	if len(r.BlobDigests) > s.Limits.Digests {
		return nil, status.Errorf(codes.InvalidArgument, "%d digests exceed the limit of %d", len(r.BlobDigests), s.Limits.Digests)
	}
	ds := make([]blob.Digest, 0, len(r.BlobDigests))
	for _, d := range r.BlobDigests {
		b, err := s.parseDigest(d)
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

// checkBatch returns an error if a batch exceeds the limits.
func (s *Server) checkBatch(blobs int, bytes int64) error {
	if bytes > s.Limits.BatchBytes || blobs > s.Limits.Digests {
		return status.Errorf(codes.InvalidArgument, "a batch of %d blobs and %d bytes exceeds the limit of %d blobs and %d bytes", blobs, bytes, s.Limits.Digests, s.Limits.BatchBytes)
	}
	return nil
}

// BatchUpdateBlobs stores small blobs. The response has a status for each.
func (s *Server) BatchUpdateBlobs(ctx context.Context, r *re.BatchUpdateBlobsRequest) (*re.BatchUpdateBlobsResponse, error) {
	in, err := s.instanceForDigest(ctx, r.InstanceName, r.DigestFunction)
	if err != nil {
		return nil, err
	}
	total := int64(0)
	for _, q := range r.Requests {
		total += int64(len(q.Data))
	}
	if err := s.checkBatch(len(r.Requests), total); err != nil {
		return nil, err
	}
	out := &re.BatchUpdateBlobsResponse{}
	for _, q := range r.Requests {
		err := s.update(ctx, in.Team, q)
		out.Responses = append(out.Responses, &re.BatchUpdateBlobsResponse_Response{Digest: q.Digest, Status: status.Convert(statusError(err)).Proto()})
	}
	return out, nil
}

// update stores one blob of a batch.
func (s *Server) update(ctx context.Context, team string, q *re.BatchUpdateBlobsRequest_Request) error {
	d, err := s.parseDigest(q.Digest)
	if err != nil {
		return err
	}
	data := q.Data
	switch q.Compressor {
	case re.Compressor_IDENTITY:
	case re.Compressor_ZSTD:
		if d.Size > s.Limits.BatchBytes {
			return status.Errorf(codes.InvalidArgument, "%d uncompressed bytes exceed the limit of %d", d.Size, s.Limits.BatchBytes)
		}
		if data, err = decompress(data, d.Size); err != nil {
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

// decompress returns zstd-compressed data decompressed. It returns at most one byte more than size, so that an oversized
// blob fails the digest check without taking up memory.
func decompress(data []byte, size int64) ([]byte, error) {
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

// BatchReadBlobs returns small blobs. The response has a status for each.
func (s *Server) BatchReadBlobs(ctx context.Context, r *re.BatchReadBlobsRequest) (*re.BatchReadBlobsResponse, error) {
	in, err := s.instanceForDigest(ctx, r.InstanceName, r.DigestFunction)
	if err != nil {
		return nil, err
	}
	total := int64(0)
	for _, d := range r.Digests {
		b, err := s.parseDigest(d)
		if err != nil {
			return nil, err
		}
		total += b.Size
	}
	if err := s.checkBatch(len(r.Digests), total); err != nil {
		return nil, err
	}
	out := &re.BatchReadBlobsResponse{}
	for _, q := range r.Digests {
		d, err := s.parseDigest(q)
		var data []byte
		if err == nil {
			data, err = s.readBlob(in.Team, d)
		}
		out.Responses = append(out.Responses, &re.BatchReadBlobsResponse_Response{Digest: q, Data: data, Status: status.Convert(statusError(err)).Proto()})
	}
	return out, nil
}

// readBlob returns the content of a blob.
func (s *Server) readBlob(team string, d blob.Digest) ([]byte, error) {
	if d == empty {
		return nil, nil
	}
	return s.Blobs.Get(team, d, s.Limits.BlobBytes)
}

// GetTree sends a directory and all directories below it, each once, in pages of at most half a batch's bytes. The page
// token is the number of directories on the pages before.
func (s *Server) GetTree(r *re.GetTreeRequest, stream re.ContentAddressableStorage_GetTreeServer) error {
	in, err := s.instanceForDigest(stream.Context(), r.InstanceName, r.DigestFunction)
	if err != nil {
		return err
	}
	root, err := s.parseDigest(r.RootDigest)
	if err != nil {
		return err
	}
	skip, err := parsePageToken(r.PageToken)
	if err != nil {
		return err
	}
	page := &re.GetTreeResponse{}
	size, visited := 0, 0
	err = s.walkTree(in.Team, root, func(dir *re.Directory, bytes int) error {
		if visited++; visited <= skip {
			return nil
		}
		if len(page.Directories) > 0 && (int64(size+bytes) > s.Limits.BatchBytes/2 || (r.PageSize > 0 && len(page.Directories) >= int(r.PageSize))) {
			page.NextPageToken = pageToken(visited - 1)
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
		return statusError(err)
	}
	return stream.Send(page)
}

// walkTree calls visit for a directory and all directories below it, breadth first, each once. bytes is the size of the
// encoded directory.
func (s *Server) walkTree(team string, root blob.Digest, visit func(d *re.Directory, bytes int) error) error {
	seen := map[blob.Digest]bool{root: true}
	for queue := []blob.Digest{root}; len(queue) > 0; queue = queue[1:] {
		data, err := s.readBlob(team, queue[0])
		if err != nil {
			return err
		}
		dir := &re.Directory{}
		if err := proto.Unmarshal(data, dir); err != nil {
			return status.Errorf(codes.InvalidArgument, "blob %s is not a valid Directory: %v", queue[0], err)
		}
		if err := visit(dir, len(data)); err != nil {
			return err
		}
		for _, n := range dir.Directories {
			d, err := s.parseDigest(n.Digest)
			if err != nil {
				return err
			}
			if !seen[d] {
				if seen[d] = true; len(seen) > s.Limits.TreeDirectories {
					return status.Errorf(codes.InvalidArgument, "the tree has more than %d directories", s.Limits.TreeDirectories)
				}
				queue = append(queue, d)
			}
		}
	}
	return nil
}

// SplitBlob is not supported, as the capabilities state.
func (s *Server) SplitBlob(context.Context, *re.SplitBlobRequest) (*re.SplitBlobResponse, error) {
	return nil, status.Error(codes.Unimplemented, "SplitBlob is not supported")
}

// SpliceBlob is not supported, as the capabilities state.
func (s *Server) SpliceBlob(context.Context, *re.SpliceBlobRequest) (*re.SpliceBlobResponse, error) {
	return nil, status.Error(codes.Unimplemented, "SpliceBlob is not supported")
}
