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

// entryName is the reference that keeps an action's result and all that it names.
func entryName(in *Instance, action blob.Digest) string {
	return "ac/" + in.Team + "/" + in.Name + "/" + action.String()
}

// GetActionResult gives an action's result, if all that it names is there.
func (s *Server) GetActionResult(ctx context.Context, q *re.GetActionResultRequest) (*re.ActionResult, error) {
	in, err := s.using(ctx, q.InstanceName, q.DigestFunction)
	if err != nil {
		return nil, err
	}
	action, err := s.digest(q.ActionDigest)
	if err != nil {
		return nil, err
	}
	team, keep, ok := s.Blobs.Ref(entryName(in, action))
	if !ok || len(s.Blobs.Missing(team, keep)) > 0 {
		return nil, status.Errorf(codes.NotFound, "no result of %s", action)
	}
	data, err := s.whole(team, keep[0])
	if err != nil {
		return nil, fail(err)
	}
	result := &re.ActionResult{}
	if err := proto.Unmarshal(data, result); err != nil {
		return nil, status.Errorf(codes.NotFound, "the result of %s can't be read: %v", action, err)
	}
	return result, nil
}

// UpdateActionResult keeps an action's result, once all that it names is durable here.
// What is not is listed, as the API has it for missing blobs.
func (s *Server) UpdateActionResult(ctx context.Context, q *re.UpdateActionResultRequest) (*re.ActionResult, error) {
	in, err := s.using(ctx, q.InstanceName, q.DigestFunction)
	if err != nil {
		return nil, err
	}
	if !in.CacheWrites {
		return nil, status.Errorf(codes.PermissionDenied, "instance %.64q takes no results from clients", in.Name)
	}
	action, err := s.digest(q.ActionDigest)
	if err != nil {
		return nil, err
	}
	if q.ActionResult == nil {
		return nil, status.Error(codes.InvalidArgument, "a result is missing")
	}
	names, err := s.names(in.Team, q.ActionResult)
	if err != nil {
		return nil, err
	}
	if missing := s.Blobs.Missing(in.Team, names); len(missing) > 0 {
		return nil, s.missing(missing)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(q.ActionResult)
	if err != nil {
		return nil, fail(err)
	}
	d, err := s.Blobs.Put(ctx, in.Team, data)
	if err == nil {
		err = s.Blobs.SetRef(ctx, in.Team, entryName(in, action), append([]blob.Digest{d}, names...)...)
	}
	if errors.Is(err, blob.ErrNotFound) { // collected just now
		return nil, s.missing(names)
	}
	if err != nil {
		return nil, fail(err)
	}
	return q.ActionResult, nil
}

// missing is the error for blobs that are not there.
func (s *Server) missing(ds []blob.Digest) error {
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

// names lists the blobs that a result names, those of its trees too.
func (s *Server) names(team string, r *re.ActionResult) (list []blob.Digest, err error) {
	seen := map[blob.Digest]bool{empty: true}
	add := func(d *re.Digest) error {
		b, err := s.digest(d)
		if err == nil && !seen[b] {
			if seen[b] = true; len(seen) > s.Limits.Digests {
				return status.Errorf(codes.InvalidArgument, "a result of more than %d blobs", s.Limits.Digests)
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
		d, err := s.digest(dir.TreeDigest)
		if err != nil {
			return nil, err
		}
		data, err := s.whole(team, d)
		if errors.Is(err, blob.ErrNotFound) || errors.Is(err, blob.ErrTenant) {
			return nil, s.missing([]blob.Digest{d})
		}
		if err != nil {
			return nil, fail(err)
		}
		tree := &re.Tree{}
		if err := proto.Unmarshal(data, tree); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "%s is no tree: %v", d, err)
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
