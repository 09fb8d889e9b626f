package controller

// presenceKey tracks whether this controller's presence key is assumed to be in the state service. Node.mu guards it.
type presenceKey struct {
	written  bool
	outdated chan struct{} // wakes maintainLease
}

func newPresenceKey() *presenceKey { return &presenceKey{outdated: make(chan struct{}, 1)} }

// rewrite makes maintainLease write the key again.
func (k *presenceKey) rewrite() {
	k.written = false
	select {
	case k.outdated <- struct{}{}:
	default:
	}
}
