package artifactreplication

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"topazhollow/internal/artifactstore"
	"topazhollow/internal/blob"
)

// testServer is a replica behind an HTTP server, with a settable clock.
type testServer struct {
	t    *testing.T
	url  string
	now  time.Time
	node *Node
}

func newTestServer(t *testing.T) *testServer {
	n, _ := newSingleReplica(t, t.TempDir(), nil)
	x := &testServer{t: t, now: time.Unix(1e9, 0), node: n}
	n.opt.Now = func() time.Time { return x.now }
	srv := httptest.NewServer((&Server{Node: n}).Handler())
	t.Cleanup(srv.Close)
	x.url = srv.URL
	return x
}

func (x *testServer) writeToken(c artifactstore.Claim) string {
	return artifactstore.Grant{Right: artifactstore.Write, Tenant: c.Tenant, Job: c.Job, Task: &c.Task, Number: c.Number, Machine: c.Machine, Session: c.Session, Until: x.now.Add(time.Hour)}.Token(key)
}

func (x *testServer) readToken(job string) string {
	return artifactstore.Grant{Right: artifactstore.Read, Job: job, Until: x.now.Add(time.Hour)}.Token(key)
}

func (x *testServer) call(token, method, path string, body []byte) (int, artifactstore.Answer, string) {
	x.t.Helper()
	req, err := http.NewRequest(method, x.url+path, bytes.NewReader(body))
	if err != nil {
		x.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		x.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		x.t.Fatal(err)
	}
	var a artifactstore.Answer
	_ = json.Unmarshal(text, &a) // not all responses are an Answer
	return resp.StatusCode, a, string(text)
}

// TestOverHTTP runs an attempt over HTTP from its begin to its seal, with a file uploaded in pieces of which one is
// repeated, and checks what readers get.
func TestOverHTTP(t *testing.T) {
	x := newTestServer(t)
	c := claim(1, 3, 7)
	w, r := x.writeToken(c), x.readToken(c.Job)
	must := func(code int, a artifactstore.Answer, text string) artifactstore.Answer {
		t.Helper()
		if code != 200 {
			t.Fatalf("%d %s", code, text)
		}
		return a
	}
	must(x.call(w, "POST", "/attempt", nil))
	records, _ := json.Marshal(lines(0, 3, "line"))
	if a := must(x.call(w, "POST", "/streams/stdout?first=0", records)); *a.Next != 3 {
		t.Fatalf("next %d", *a.Next)
	}
	if code, a, _ := x.call(w, "POST", "/streams/stdout?first=9", records); code != 409 || *a.Next != 3 {
		t.Fatalf("append with a gap: %d, next %v", code, a.Next)
	}
	content := bytes.Repeat([]byte("grades "), 1000)
	d := blob.DigestOf(content)
	a := must(x.call(w, "POST", "/uploads?blob="+d.String(), nil))
	must(x.call(w, "POST", "/uploads/"+a.Upload+"?offset=0", content[:4000]))
	must(x.call(w, "POST", "/uploads/"+a.Upload+"?offset=0", content[:4000]))
	if code, b, _ := x.call(w, "POST", "/uploads/"+a.Upload+"?offset=6000", content[6000:]); code != 409 || *b.Offset != 4000 {
		t.Fatalf("upload with a gap: %d %v", code, b.Offset)
	}
	if a := must(x.call(w, "POST", "/uploads/"+a.Upload+"?offset=4000", content[4000:])); !a.Done {
		t.Fatal("upload not done")
	}
	must(x.call(w, "POST", "/files/out/grades.bin?blob="+d.String(), nil))
	if _, _, text := x.call(r, "GET", "/logs/job-000001/3", nil); !strings.Contains(text, `"goes on"`) || strings.Count(text, "\n") != 4 {
		t.Fatalf("log of an open attempt: %s", text)
	}
	if a := must(x.call(w, "POST", "/seal", []byte(`{"exit":{"completed":true},"records":{"stdout":3},"files":{"out/grades.bin":"`+d.String()+`"}}`))); !a.Final {
		t.Fatal("the sealed attempt is not the result")
	}
	code, _, text := x.call(r, "GET", "/logs/job-000001/3?from=1&follow=1", nil)
	want := `"n":1,` // then 2, then the end
	if code != 200 || !strings.HasPrefix(text, "{"+want) || !strings.Contains(text, `"state":"final","attempt":7`) {
		t.Fatalf("%d %s", code, text)
	}
	if _, _, text := x.call(r, "GET", "/files/job-000001/3/out/grades.bin?offset=3500", nil); text != string(content[3500:]) {
		t.Fatalf("%d bytes of the file", len(text))
	}
	if a := must(x.call(r, "GET", "/attempts/job-000001/3", nil)); len(a.List) != 1 || a.List[0].State != artifactstore.StateFinal {
		t.Fatalf("%+v", a.List)
	}
	if a := must(x.call(r, "GET", "/manifest/job-000001/3", nil)); a.Sealed.Files[0].Digest != d.String() {
		t.Fatalf("%+v", a.Sealed)
	}
}

// TestTokens checks that a token that is forged, expired or for another job, attempt or right is refused.
func TestTokens(t *testing.T) {
	x := newTestServer(t)
	c := claim(1, 0, 1)
	w, r := x.writeToken(c), x.readToken(c.Job)
	if code, _, text := x.call(w, "POST", "/attempt", nil); code != 200 {
		t.Fatal(text)
	}
	task := 1
	other := artifactstore.Grant{Right: artifactstore.Read, Job: c.Job, Task: &task, Until: x.now.Add(time.Hour)}.Token(key)
	forged := artifactstore.Grant{Right: artifactstore.Read, Job: c.Job, Until: x.now.Add(time.Hour)}.Token([]byte("another key 0000"))
	body, _, _ := strings.Cut(r, ".")
	for what, token := range map[string]string{"none": "", "for writing": w, "of another task": other, "of another job": x.readToken("job-000002"), "forged": forged,
		"without a signature": body, "with a short signature": r[:len(r)-2], "with a wrong signature": body + "." + strings.Repeat("A", 43), "too long": strings.Repeat("A", 5000) + ".A"} {
		if code, _, text := x.call(token, "GET", "/attempts/job-000001/0", nil); code != 401 {
			t.Errorf("token %s: %d %s", what, code, text)
		}
	}
	for _, path := range []string{"/attempt", "/streams/stdout", "/seal", "/uploads?blob=x", "/files/a"} {
		if code, _, text := x.call(r, "POST", path, nil); code != 401 {
			t.Errorf("%s with a read token: %d %s", path, code, text)
		}
	}
	old := c
	old.Session = 0
	if code, _, text := x.call(x.writeToken(old), "POST", "/seal", []byte(`{"exit":{"completed":true},"records":{}}`)); code != 403 {
		t.Errorf("agent of an older session: %d %s", code, text)
	}
	x.now = x.now.Add(2 * time.Hour)
	if code, _, _ := x.call(r, "GET", "/attempts/job-000001/0", nil); code != 401 {
		t.Errorf("expired token: %d", code)
	}
	x.now = x.now.Add(-2 * time.Hour)
	for path, want := range map[string]int{"/attempts/job-000001/x": 400, "/logs/job-000001/0?stream=../x": 400, "/logs/job-000001/0?from=-1": 400,
		"/logs/job-000001/0?since=yesterday": 400, "/logs/job-000001/0?attempt=9": 404, "/manifest/job-000001/0": 404, "/files/job-000001/0/a": 404} {
		if code, _, text := x.call(r, "GET", path, nil); code != want {
			t.Errorf("%s: %d %s", path, code, text)
		}
	}
}

// TestRevoked checks that revoked tokens are refused and others are not, that the list is reloaded when it changes,
// and that an invalid list leaves the previous one in force.
func TestRevoked(t *testing.T) {
	path := filepath.Join(t.TempDir(), "revoked")
	now := time.Now()
	write := func(text string, later time.Duration) {
		t.Helper()
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Chtimes(path, now.Add(later), now.Add(later)); err != nil {
			t.Fatal(err)
		}
	}
	write("write job-000001/0/1 # its machine was sold\n", 0)
	r, err := LoadRevoked(path)
	if err != nil {
		t.Fatal(err)
	}
	x := newTestServer(t)
	x.node.opt.Revoked = r
	for _, c := range []struct {
		claim artifactstore.Claim
		code  int
	}{{claim(1, 0, 1), 401}, {claim(1, 0, 2), 200}, {claim(2, 0, 1), 200}} {
		if code, _, text := x.call(x.writeToken(c.claim), "POST", "/attempt", nil); code != c.code {
			t.Errorf("%s: %d %s", c.claim.Attempt, code, text)
		}
	}
	expireCheck := func() { r.checked = time.Time{} } // the file is checked again only after a second
	write("write job-000001\nread job-000002\n", time.Minute)
	expireCheck()
	if code, _, _ := x.call(x.writeToken(claim(1, 0, 2)), "POST", "/seal", []byte("{}")); code != 401 {
		t.Errorf("write token of a revoked job: %d", code)
	}
	if code, _, _ := x.call(x.readToken("job-000002"), "GET", "/attempts/job-000002/0", nil); code != 401 {
		t.Errorf("read token of a revoked job: %d", code)
	}
	write("nonsense", 2*time.Minute)
	expireCheck()
	if code, _, _ := x.call(x.readToken("job-000002"), "GET", "/attempts/job-000002/0", nil); code != 401 {
		t.Errorf("revoked token with an invalid list: %d", code)
	}
	if _, err := LoadRevoked(path); err == nil || !strings.Contains(err.Error(), "line 1") {
		t.Errorf("loading an invalid list: %v", err)
	}
}

// FuzzToken checks that ParseToken accepts no text that Token did not make.
func FuzzToken(f *testing.F) {
	now := time.Unix(1e9, 0)
	good := artifactstore.Grant{Right: artifactstore.Read, Job: "job-000001", Until: now.Add(time.Hour)}.Token(key)
	f.Add(good)
	f.Add("e30.AAAA")
	f.Fuzz(func(t *testing.T, text string) {
		if g, err := artifactstore.ParseToken(key, text, now); err == nil && text != good && g.Token(key) != text {
			t.Fatalf("%q was accepted as %+v", text, g)
		}
	})
}
