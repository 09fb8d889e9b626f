package faultinjection

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"topazhollow/internal/artifactreplication"
	"topazhollow/internal/simulation"
	"topazhollow/internal/wait"
)

// configure writes the replicas' settings files.
func (k *killTest) configure() error {
	var list strings.Builder
	listen, host := map[string]string{}, simulation.NewHost()
	for i, name := range storeNames {
		var err error
		if listen[name], err = host.Listen(); err != nil {
			return err
		}
		k.urls = append(k.urls, "http://"+listen[name])
		fmt.Fprintf(&list, "[[members.keeper]]\nname = %q\nzone = \"zone-%d\"\nurl = %q\n", name, i%2, "http://"+listen[name])
	}
	for _, name := range storeNames {
		path := filepath.Join(k.options.Dir, name+".toml")
		text := fmt.Sprintf("name = %q\nlisten = %q\ndir = %q\nrepair_seconds = 0.5\npatience_seconds = 2.0\nscrub_mb_per_s = 0.0\n[members]\nepoch = 1\n%s",
			name, listen[name], filepath.Join(k.options.Dir, name), list.String())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		k.configs[name] = path
	}
	return nil
}

// start starts a replica as a process.
func (k *killTest) start(name string) error {
	log, err := os.OpenFile(filepath.Join(k.options.Dir, name+".log"), os.O_WRONLY|os.O_CREATE|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(k.options.Program, "artifact-store", "--config", k.configs[name])
	cmd.Env = append(os.Environ(), fmt.Sprintf("%s=%x", artifactreplication.KeyVariable, k.options.Key))
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.processes[name] = cmd
	return nil
}

// kill kills a replica's process with SIGKILL and waits until it has exited.
func (k *killTest) kill(name string) {
	k.mu.Lock()
	cmd := k.processes[name]
	delete(k.processes, name)
	k.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Kill() // it may have exited already
		_ = cmd.Wait()
	}
}

// stopAll kills all replicas.
func (k *killTest) stopAll() {
	for _, name := range storeNames {
		k.kill(name)
	}
}

// killStores kills one random replica after another at random moments until the context ends, and restarts each after a
// random pause. Every seventh kill also deletes the replica's disk; the next replica is then killed only once this one
// serves again.
func (k *killTest) killStores(ctx context.Context, r *rand.Rand) error {
	for ctx.Err() == nil {
		if !wait.For(ctx, time.Duration(200+r.IntN(1500))*time.Millisecond) {
			return nil
		}
		name := storeNames[r.IntN(len(storeNames))]
		k.kill(name)
		k.mu.Lock()
		k.report.KeeperKills++
		lost := k.report.KeeperKills%7 == 0
		if lost {
			k.report.DisksLost++
		}
		k.mu.Unlock()
		if lost {
			if err := os.RemoveAll(filepath.Join(k.options.Dir, name)); err != nil {
				return err
			}
		}
		wait.For(ctx, time.Duration(r.IntN(800))*time.Millisecond)
		if err := k.start(name); err != nil {
			return err
		}
		if lost {
			// The store does not guarantee to survive the loss of a second disk before the first one's data is replicated again.
			if err := k.awaitStatus(context.WithoutCancel(ctx), func(st *artifactreplication.Status) bool {
				return st.Name != name || st.State == string(artifactreplication.Serving)
			}); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitRepaired waits until each replica reports that it serves and that nothing is left to repair.
func (k *killTest) awaitRepaired(ctx context.Context) error {
	return k.awaitStatus(ctx, func(st *artifactreplication.Status) bool {
		return st.State == string(artifactreplication.Serving) && st.PendingRepairs == 0 && len(st.Unreachable) == 0
	})
}

// awaitStatus waits until a condition holds for the status that each replica reports.
func (k *killTest) awaitStatus(ctx context.Context, holds func(*artifactreplication.Status) bool) error {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Minute)
	defer cancel()
	client := &http.Client{Timeout: 5 * time.Second}
	for {
		all := true
		for _, url := range k.urls {
			st, err := artifactreplication.AskStatus(ctx, client, url, k.options.Key)
			all = all && err == nil && holds(st)
		}
		if all {
			return nil
		}
		if !wait.For(ctx, 100*time.Millisecond) {
			return fmt.Errorf("timed out waiting for the artifact-store replicas; their logs are in %s", k.options.Dir)
		}
	}
}
