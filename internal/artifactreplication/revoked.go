package artifactreplication

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"topazhollow/internal/artifactstore"
)

// RevocationList is a list of tokens that are refused before they expire. It is loaded from a file, and again when
// the file changes. Each line is "write JOB/TASK/ATTEMPT", or one of "write JOB/TASK", "write JOB" and "read JOB" for
// all tokens below; # begins a comment.
type RevocationList struct {
	path     string
	mu       sync.Mutex
	checked  time.Time       // when the file was last checked for a change
	modified time.Time       // modification time of the loaded file
	revoked  map[string]bool // by right and target, as in the file
}

// maxRevocationListBytes is the maximum size of the file.
const maxRevocationListBytes = 16 << 20

// LoadRevoked loads a list; without a path it returns nil, which revokes nothing.
func LoadRevoked(path string) (*RevocationList, error) {
	if path == "" {
		return nil, nil
	}
	r := &RevocationList{path: path}
	return r, r.load()
}

func (r *RevocationList) load() error {
	info, err := os.Stat(r.path)
	if err != nil {
		return err
	}
	if info.Size() > maxRevocationListBytes {
		return fmt.Errorf("%s: larger than %d bytes", r.path, maxRevocationListBytes)
	}
	b, err := os.ReadFile(r.path)
	if err != nil {
		return err
	}
	lines := map[string]bool{}
	scanner := bufio.NewScanner(bytes.NewReader(b))
	for n := 1; scanner.Scan(); n++ {
		text, _, _ := strings.Cut(scanner.Text(), "#")
		words := strings.Fields(text)
		if len(words) == 0 {
			continue
		}
		if len(words) != 2 || (words[0] != "write" && words[0] != "read") || !isTarget(words[1], words[0] == "read") {
			return fmt.Errorf("%s: line %d: expected write JOB[/TASK[/ATTEMPT]] or read JOB", r.path, n)
		}
		lines[words[0]+" "+words[1]] = true
	}
	r.revoked, r.modified = lines, info.ModTime()
	return scanner.Err()
}

// isTarget reports whether a text is JOB, JOB/TASK or JOB/TASK/ATTEMPT, or only JOB if jobOnly is set.
func isTarget(text string, jobOnly bool) bool {
	parts := strings.Split(text, "/")
	for _, p := range parts[1:] {
		if _, err := strconv.ParseUint(p, 10, 64); err != nil {
			return false
		}
	}
	return parts[0] != "" && len(parts) <= 3 && (!jobOnly || len(parts) == 1)
}

// isRevoked reports whether a grant was revoked. It reloads a changed file at most once a second; if that fails, the
// previous list stays in force.
func (r *RevocationList) isRevoked(g *artifactstore.Grant) bool {
	if r == nil || (g.Right != artifactstore.Write && g.Right != artifactstore.Read) {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if now := time.Now(); now.Sub(r.checked) > time.Second {
		r.checked = now
		if info, err := os.Stat(r.path); err == nil && !info.ModTime().Equal(r.modified) {
			_ = r.load()
		}
	}
	name := string(g.Right) + " " + g.Job
	if r.revoked[name] || g.Right == artifactstore.Read || g.Task == nil {
		return r.revoked[name]
	}
	name += "/" + strconv.Itoa(*g.Task)
	return r.revoked[name] || r.revoked[name+"/"+strconv.FormatUint(g.Number, 10)]
}
