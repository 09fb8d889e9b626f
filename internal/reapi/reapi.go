// Package reapi is the front for build tools: the Remote Execution API v2
// (build.bazel.remote.execution.v2) and ByteStream over the store of blobs that the
// keepers use. docs/remote-execution.md lists each call and what is done with it.
package reapi

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"time"

	re "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/bazelbuild/remote-apis/build/bazel/semver"
	"google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
	"topazhollow/internal/wal"
)

// Instance is a name that build tools use the service under. Its blobs are its team's:
// two instances of a team share them, and those of another team can't be read by guessing
// their digests.
type Instance struct {
	Name        string `toml:"name"`
	Team        string `toml:"team"`
	CacheWrites bool   `toml:"cache_writes"` // clients may write results to the action cache
}

// Limits bound what one request may ask for.
type Limits struct {
	Batch   int64 // bytes of blobs in one batch request or answer
	Digests int   // in one request
	Blob    int64 // bytes of one blob
	Tree    int   // directories of one tree
}

// Server answers build tools.
type Server struct {
	re.UnimplementedContentAddressableStorageServer
	re.UnimplementedActionCacheServer
	re.UnimplementedCapabilitiesServer
	re.UnimplementedExecutionServer
	bytestream.UnimplementedByteStreamServer

	Blobs     *blob.Store
	Instances []Instance
	Key       []byte // of the tokens
	Limits    Limits
	Log       *slog.Logger
	Now       func() time.Time
}

// Register adds all services to a gRPC server.
func (s *Server) Register(g *grpc.Server) {
	re.RegisterContentAddressableStorageServer(g, s)
	re.RegisterActionCacheServer(g, s)
	re.RegisterCapabilitiesServer(g, s)
	re.RegisterExecutionServer(g, s)
	bytestream.RegisterByteStreamServer(g, s)
}

// instance finds an instance that the caller may use, by its token: a grant to build
// names the instance in place of a job.
func (s *Server) instance(ctx context.Context, name string) (*Instance, error) {
	md, _ := metadata.FromIncomingContext(ctx)
	var token string
	if v := md.Get("authorization"); len(v) == 1 {
		token, _ = strings.CutPrefix(v[0], "Bearer ")
	}
	g, err := artifactstore.ParseToken(s.Key, token, s.Now())
	if err != nil {
		return nil, status.Error(codes.Unauthenticated, err.Error())
	}
	if g.Right != artifactstore.Build || g.Job != name {
		return nil, status.Errorf(codes.PermissionDenied, "the token is not for instance %.64q", name)
	}
	for i := range s.Instances {
		if s.Instances[i].Name == name {
			return &s.Instances[i], nil
		}
	}
	return nil, status.Errorf(codes.NotFound, "there is no instance %.64q", name)
}

// fail maps the store's errors to those of the API, in this one place.
func fail(err error) error {
	if err == nil {
		return nil
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	var full *blob.FullError
	switch {
	case errors.As(err, &full):
		return later(codes.ResourceExhausted, err, full.Retry)
	case errors.Is(err, blob.ErrBusy), errors.Is(err, wal.ErrBusy):
		return later(codes.Unavailable, err, time.Second)
	case errors.Is(err, wal.ErrBroken):
		return later(codes.Unavailable, err, 10*time.Second)
	case errors.Is(err, blob.ErrNotFound), errors.Is(err, blob.ErrTenant), errors.Is(err, blob.ErrCorrupt), errors.Is(err, blob.ErrUpload):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, blob.ErrDigest), errors.Is(err, blob.ErrMismatch):
		return status.Error(codes.InvalidArgument, err.Error())
	case errors.Is(err, blob.ErrOffset):
		return status.Error(codes.OutOfRange, err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		return status.Error(codes.DeadlineExceeded, err.Error())
	case errors.Is(err, context.Canceled):
		return status.Error(codes.Canceled, err.Error())
	}
	return status.Error(codes.Internal, err.Error())
}

// later is an error that says when to come back.
func later(code codes.Code, err error, after time.Duration) error {
	st, derr := status.New(code, err.Error()).WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)})
	if derr != nil {
		return status.Error(code, err.Error())
	}
	return st.Err()
}

// digest reads a digest of the API.
func (s *Server) digest(d *re.Digest) (blob.Digest, error) {
	if d == nil {
		return blob.Digest{}, status.Error(codes.InvalidArgument, "a digest is missing")
	}
	b, err := blob.Parse(fmt.Sprintf("%s/%d", d.Hash, d.SizeBytes))
	if err != nil {
		return b, fail(err)
	}
	if b.Size > s.Limits.Blob {
		return b, status.Errorf(codes.InvalidArgument, "a blob of %d bytes, %d are the most", b.Size, s.Limits.Blob)
	}
	return b, nil
}

func digestProto(d blob.Digest) *re.Digest {
	hash, _, _ := strings.Cut(d.String(), "/")
	return &re.Digest{Hash: hash, SizeBytes: d.Size}
}

// using finds an instance for a call that names a digest function. Others than sha256 are
// refused by name.
func (s *Server) using(ctx context.Context, name string, f re.DigestFunction_Value) (*Instance, error) {
	in, err := s.instance(ctx, name)
	if err == nil && f != re.DigestFunction_UNKNOWN && f != re.DigestFunction_SHA256 {
		err = status.Errorf(codes.InvalidArgument, "digest function %s is not supported, SHA256 is", f)
	}
	return in, err
}

// GetCapabilities tells what is there. Execution is not yet.
func (s *Server) GetCapabilities(ctx context.Context, r *re.GetCapabilitiesRequest) (*re.ServerCapabilities, error) {
	in, err := s.instance(ctx, r.InstanceName)
	if err != nil {
		return nil, err
	}
	zstd := []re.Compressor_Value{re.Compressor_ZSTD}
	return &re.ServerCapabilities{
		CacheCapabilities: &re.CacheCapabilities{
			DigestFunctions:                 []re.DigestFunction_Value{re.DigestFunction_SHA256},
			ActionCacheUpdateCapabilities:   &re.ActionCacheUpdateCapabilities{UpdateEnabled: in.CacheWrites},
			MaxBatchTotalSizeBytes:          s.Limits.Batch,
			MaxCasBlobSizeBytes:             s.Limits.Blob,
			SymlinkAbsolutePathStrategy:     re.SymlinkAbsolutePathStrategy_DISALLOWED,
			SupportedCompressors:            zstd,
			SupportedBatchUpdateCompressors: zstd,
		},
		LowApiVersion:  &semver.SemVer{Major: 2},
		HighApiVersion: &semver.SemVer{Major: 2, Minor: 3},
	}, nil
}
