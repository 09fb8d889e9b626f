package controller

import (
	"context"
	"time"
)

// How long the machine types of the last read are used: by the fleet's owner, which needs
// their prices, by the others, and after a read that failed.
const (
	ownerCatalogLife = 30 * time.Second
	catalogLife      = 5 * time.Minute
	catalogRetry     = time.Second
)

// readCatalog keeps the machine types known.
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

func (n *Node) taskSize(uid string) (cpus, gpus, memory float64) {
	if j := n.jobs[uid]; j != nil {
		return j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB
	}
	return 0, 0, 0
}
