package controller

import (
	"context"
	"time"
)

// How long after a read of the catalog it is read again.
const (
	ownerCatalogLife = 30 * time.Second // by the fleet's owner, which needs current prices
	catalogLife      = 5 * time.Minute  // by the other controllers
	catalogRetry     = time.Second      // after a read that failed
)

// readCatalog reads the cloud's catalog of machine types periodically until the context ends.
func (n *Node) readCatalog(ctx context.Context) error {
	for ctx.Err() == nil {
		types, err := n.cloud.Catalog(ctx)
		n.mu.Lock()
		wait := catalogLife
		if err == nil && len(types) > 0 {
			n.scheduler.SetMachineTypes(types)
			n.wake()
		} else {
			n.log.Info("catalog not read", "err", err)
			wait = catalogRetry
		}
		if n.shards.OwnsFleet() {
			wait = min(wait, ownerCatalogLife)
		}
		n.mu.Unlock()
		if !sleep(ctx, wait) {
			return nil
		}
	}
	return nil
}

// taskSize returns the resources that a task of a job takes; zeros if the job is not known.
func (n *Node) taskSize(uid string) (cpus, gpus, memory float64) {
	if j := n.jobs[uid]; j != nil {
		return j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB
	}
	return 0, 0, 0
}
