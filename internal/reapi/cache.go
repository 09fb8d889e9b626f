package reapi

import (
	"context"
	"errors"

	re "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"topazhollow/internal/blob"
)

// actionRef returns the name of the blob store reference that holds an action's result and all blobs it names.
func actionRef(in *Instance, action blob.Digest) string {
	return "ac/" + in.Team + "/" + in.Name + "/" + action.String()
}

// GetActionResult returns the cached result of an action. A result of which a blob is missing counts as not found.
func (s *Server) GetActionResult(ctx context.Context, q *re.GetActionResultRequest) (*re.ActionResult, error) {
	in, err := s.instanceForDigest(ctx, q.InstanceName, q.DigestFunction)
	if err != nil {
		return nil, err
	}
	action, err := s.parseDigest(q.ActionDigest)
	if err != nil {
		return nil, err
	}
	team, held, ok := s.Blobs.Ref(actionRef(in, action))
	if !ok || len(s.Blobs.Missing(team, held)) > 0 {
		return nil, status.Errorf(codes.NotFound, "no result is cached for action %s", action)
	}
	data, err := s.readBlob(team, held[0])
	if err != nil {
		return nil, statusError(err)
	}
	result := &re.ActionResult{}
	if err := proto.Unmarshal(data, result); err != nil {
		return nil, status.Errorf(codes.NotFound, "the cached result of action %s can't be decoded: %v", action, err)
	}
	return result, nil
}

// UpdateActionResult caches an action's result if all blobs that it names are stored durably. Otherwise its error lists
// the missing blobs in the form that the API defines.
func (s *Server) UpdateActionResult(ctx context.Context, q *re.UpdateActionResultRequest) (*re.ActionResult, error) {
	in, err := s.instanceForDigest(ctx, q.InstanceName, q.DigestFunction)
	if err != nil {
		return nil, err
	}
	if !in.CacheWrites {
		return nil, status.Errorf(codes.PermissionDenied, "instance %.64q does not accept results from clients", in.Name)
	}
	action, err := s.parseDigest(q.ActionDigest)
	if err != nil {
		return nil, err
	}
	if q.ActionResult == nil {
		return nil, status.Error(codes.InvalidArgument, "a result is missing")
	}
	referenced, err := s.referencedBlobs(in.Team, q.ActionResult)
	if err != nil {
		return nil, err
	}
	if missing := s.Blobs.Missing(in.Team, referenced); len(missing) > 0 {
		return nil, s.missingBlobsError(missing)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(q.ActionResult)
	if err != nil {
		return nil, statusError(err)
	}
	d, err := s.Blobs.Put(ctx, in.Team, data)
	if err == nil {
		err = s.Blobs.SetRef(ctx, in.Team, actionRef(in, action), append([]blob.Digest{d}, referenced...)...)
	}
	if errors.Is(err, blob.ErrNotFound) { // garbage-collected since the check above
		return nil, s.missingBlobsError(referenced)
	}
	if err != nil {
		return nil, statusError(err)
	}
	return q.ActionResult, nil
}

// missingBlobsError returns the API's error for missing blobs. It lists at most 100 of them.
func (s *Server) missingBlobsError(ds []blob.Digest) error {
	f := &errdetails.PreconditionFailure{}
	for _, d := range ds {
		if len(f.Violations) < 100 {
			f.Violations = append(f.Violations, &errdetails.PreconditionFailure_Violation{Type: "MISSING", Subject: "blobs/" + d.String()})
		}
	}
	st, err := status.New(codes.FailedPrecondition, "blobs of the result are missing").WithDetails(f)
	if err != nil {
		return status.Error(codes.FailedPrecondition, "blobs of the result are missing")
	}
	return st.Err()
}

// referencedBlobs lists the blobs that a result names, directly and in its output directories.
func (s *Server) referencedBlobs(team string, r *re.ActionResult) (list []blob.Digest, err error) {
	seen := map[blob.Digest]bool{empty: true}
	add := func(d *re.Digest) error {
		b, err := s.parseDigest(d)
		if err == nil && !seen[b] {
			if seen[b] = true; len(seen) > s.Limits.Digests {
				return status.Errorf(codes.InvalidArgument, "a result names more than %d blobs", s.Limits.Digests)
			}
			list = append(list, b)
		}
		return err
	}
	for _, f := range r.OutputFiles {
		if err := add(f.Digest); err != nil {
			return nil, err
		}
	}
	for _, d := range []*re.Digest{r.StdoutDigest, r.StderrDigest} {
		if d != nil {
			if err := add(d); err != nil {
				return nil, err
			}
		}
	}
	for _, dir := range r.OutputDirectories {
		if err := add(dir.TreeDigest); err != nil {
			return nil, err
		}
		d, err := s.parseDigest(dir.TreeDigest)
		if err != nil {
			return nil, err
		}
		data, err := s.readBlob(team, d)
		if errors.Is(err, blob.ErrNotFound) || errors.Is(err, blob.ErrTenant) {
			return nil, s.missingBlobsError([]blob.Digest{d})
		}
		if err != nil {
			return nil, statusError(err)
		}
		tree := &re.Tree{}
		if err := proto.Unmarshal(data, tree); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "blob %s is not a valid Tree: %v", d, err)
		}
		for _, x := range append([]*re.Directory{tree.Root}, tree.Children...) {
			for _, f := range x.GetFiles() {
				if err := add(f.Digest); err != nil {
					return nil, err
				}
			}
		}
	}
	return list, nil
}
