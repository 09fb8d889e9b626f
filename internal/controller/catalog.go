package controller

import (
	"context"
	"reflect"
	"slices"
	"time"

	"topazhollow/internal/protocol"
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
			n.logCatalog(types)
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

// logCatalog logs the machine types if any but their prices, which change all the time, differ from those read before.
func (n *Node) logCatalog(types []protocol.MachineType) {
	same := func(a, b protocol.MachineType) bool {
		a.PricePerHour, a.SpotPricePerHour = b.PricePerHour, b.SpotPricePerHour
		return reflect.DeepEqual(a, b)
	}
	if slices.EqualFunc(types, n.scheduler.MachineTypes(), same) {
		return
	}
	for i := range types {
		t := &types[i]
		n.log.Info("machine type", "type", t.Name, "cpus", t.CPUs, "gpus", t.GPUs, "memory_gb", t.MemoryGB, "boot_s", t.BootSeconds,
			"price", t.PricePerHour, "spot_price", t.SpotPricePerHour, "zones", t.Zones)
	}
}

// taskSize returns the resources that a task of a job takes; zeros if the job is not known.
func (n *Node) taskSize(uid string) (cpus, gpus, memory float64) {
	if j := n.jobs[uid]; j != nil {
		return j.spec.CPUs, j.spec.GPUs, j.spec.MemoryGB
	}
	return 0, 0, 0
}
