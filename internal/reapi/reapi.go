// Package reapi is a server for build tools: it serves the Remote Execution API v2 (build.bazel.remote.execution.v2) and
// ByteStream from a blob store of the kind that the artifact store uses. docs/remote-execution.md lists each call and
// how it is handled.
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

// Instance is an instance name that clients of the API may use. The blobs stored under it belong to its team: instances
// of the same team share them, and another team can't read them by guessing their digests.
type Instance struct {
	Name        string `toml:"name"`
	Team        string `toml:"team"`
	CacheWrites bool   `toml:"cache_writes"` // whether clients may write results to the action cache
}

// Limits bounds single requests.
type Limits struct {
	BatchBytes      int64 // of blobs in one batch request or response
	Digests         int   // in one request
	BlobBytes       int64 // of one blob
	TreeDirectories int   // of one tree
}

// Server implements the services for build tools.
type Server struct {
	re.UnimplementedContentAddressableStorageServer
	re.UnimplementedActionCacheServer
	re.UnimplementedCapabilitiesServer
	re.UnimplementedExecutionServer
	bytestream.UnimplementedByteStreamServer

	Blobs     *blob.Store
	Instances []Instance
	Key       []byte // verifies the callers' tokens
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

// instance returns the named instance if the caller's token allows its use. A token for builds has the instance's name
// in place of a job.
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
	return nil, status.Errorf(codes.NotFound, "instance %.64q does not exist", name)
}

// statusError maps errors of the blob store to gRPC status errors. Errors that have a status already stay as they are.
func statusError(err error) error {
	if err == nil {
		return nil
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	var full *blob.FullError
	switch {
	case errors.As(err, &full):
		return retryableError(codes.ResourceExhausted, err, full.Retry)
	case errors.Is(err, blob.ErrBusy), errors.Is(err, wal.ErrBusy):
		return retryableError(codes.Unavailable, err, time.Second)
	case errors.Is(err, wal.ErrBroken):
		return retryableError(codes.Unavailable, err, 10*time.Second)
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

// retryableError returns a status error with the delay after which the client should retry.
func retryableError(code codes.Code, err error, after time.Duration) error {
	st, derr := status.New(code, err.Error()).WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)})
	if derr != nil {
		return status.Error(code, err.Error())
	}
	return st.Err()
}

// parseDigest converts a digest of the API and checks it against the limits.
func (s *Server) parseDigest(d *re.Digest) (blob.Digest, error) {
	if d == nil {
		return blob.Digest{}, status.Error(codes.InvalidArgument, "the request lacks a digest")
	}
	b, err := blob.Parse(fmt.Sprintf("%s/%d", d.Hash, d.SizeBytes))
	if err != nil {
		return b, statusError(err)
	}
	if b.Size > s.Limits.BlobBytes {
		return b, status.Errorf(codes.InvalidArgument, "a blob of %d bytes exceeds the limit of %d", b.Size, s.Limits.BlobBytes)
	}
	return b, nil
}

// digestProto converts a digest to the API's form.
func digestProto(d blob.Digest) *re.Digest {
	hash, _, _ := strings.Cut(d.String(), "/")
	return &re.Digest{Hash: hash, SizeBytes: d.Size}
}

// instanceForDigest returns an instance for a call that names a digest function. Only SHA-256 is supported.
func (s *Server) instanceForDigest(ctx context.Context, name string, f re.DigestFunction_Value) (*Instance, error) {
	in, err := s.instance(ctx, name)
	if err == nil && f != re.DigestFunction_UNKNOWN && f != re.DigestFunction_SHA256 {
		err = status.Errorf(codes.InvalidArgument, "digest function %s is not supported, only SHA256 is", f)
	}
	return in, err
}

// GetCapabilities returns the capabilities of an instance. Execution is not supported yet.
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
			MaxBatchTotalSizeBytes:          s.Limits.BatchBytes,
			MaxCasBlobSizeBytes:             s.Limits.BlobBytes,
			SymlinkAbsolutePathStrategy:     re.SymlinkAbsolutePathStrategy_DISALLOWED,
			SupportedCompressors:            zstd,
			SupportedBatchUpdateCompressors: zstd,
		},
		LowApiVersion:  &semver.SemVer{Major: 2},
		HighApiVersion: &semver.SemVer{Major: 2, Minor: 3},
	}, nil
}
