package controller

import (
	"sync/atomic"
	"testing"
	"time"

	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
	"topazhollow/internal/simulation"
)

// TestGangRunsWhereFetchesTakeLong guards against a gang whose attempts give the fetch of its image up again and again
// (review/7): the first machine that needs the image has it, the others take longer to fetch it than a task waits for the
// others of its gang. The gang runs also if all controllers end meanwhile.
func TestGangRunsWhereFetchesTakeLong(t *testing.T) {
	t.Parallel()
	for name, allEnd := range map[string]bool{"no controller ends": false, "all controllers end": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			timeouts := settings.Agents{HeartbeatSeconds: 0.2, LeaseSeconds: 20, GangWaitSeconds: 1, GangPeerSeconds: 1, CancelSeconds: 60}
			var asked atomic.Bool
			fetch := func(string, string) time.Duration {
				if asked.Swap(true) {
					return 4 * settings.Seconds(timeouts.GangWaitSeconds)
				}
				return 0
			}
			images := &simulation.ImageConfig{Fetch: fetch, GangWait: settings.Seconds(timeouts.GangWaitSeconds), GangPeer: settings.Seconds(timeouts.GangPeerSeconds), Gangs: simulation.NewGangs()}
			r := newTestClusterWith(t, time.Second, timeouts, func(r *testCluster) { r.images = images })
			gang := arrayJob(1, 2, "red")
			gang.Kind, gang.CPUs = protocol.Gang, 6 // one task fits a machine
			r.submit(gang)
			r.waitUntil("a task waits for the others", func() bool { return r.checker.Starts() > 0 })
			if allEnd {
				for i := range r.nodes {
					r.crash(i)
					r.start(i)
				}
			}
			r.waitUntil("the gang runs", func() bool { return images.Gangs.Begun(gang.UID) > 0 })
			r.awaitAllDone([]*protocol.Submission{gang})
		})
	}
}
