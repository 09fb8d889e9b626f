package kvstore

import (
	"context"
	"testing"
	"time"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// TestGoldenRequests checks the requests to the state service, whose format the store defines.
func TestGoldenRequests(t *testing.T) {
	revision := `{"revision":432}`
	service := goldentest.NewService(t, map[string]string{"POST /txn": revision, "POST /grants": `{"permiso":7}`, "GET /store": `{"entries":[],"more":false,"revision":432}`,
		"GET /changes": `{"revision":432,"news":[]}`, "GET /store/a/b": `{"path":"a/b","v":{},"version":412}`})
	c := New(service.Addr, settings.KVStore{RequestsPerSecond: 1000, ChangesPerSecond: 1000, ValueKB: 8, ChangesPerTransaction: 12}, 1)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	defer func() { cancel(); <-ended }()
	_, getErr := c.Get(ctx, "a/b")
	_, controlErr := c.GetControl(ctx, "a/b")
	_, _, listErr := c.List(ctx, "c/")
	_, _, pageErr := c.Page(ctx, "c/", "c/7 8")
	_, watchErr := c.Watch(ctx, "c/", 431)
	_, changesErr := c.Changes(ctx, "c/", 431)
	_, grantErr := c.GrantLease(ctx, 5*time.Second)
	extendErr := c.RenewLease(ctx, 7)
	_, _, txnErr := c.CommitControl(ctx, protocol.Txn{Then: []protocol.Op{{Set: "a/b", Value: []byte(`{}`), Lease: 7}}})
	_, _, compareErr := c.CompareVersions(ctx, []protocol.Condition{{Key: "a/b", Version: 412}})
	c.SetFence(protocol.Condition{Key: "g", Version: 3})
	_, commitErr := c.Commit(ctx, Update{Conditions: []protocol.Condition{{Key: "a/b", Version: 412}}, Changes: []protocol.Op{{Delete: "a/b"}, {Set: "c/d", Value: []byte(`{"x":1}`)}}})
	for name, err := range map[string]error{"get": getErr, "get control": controlErr, "list": listErr, "page": pageErr, "watch": watchErr, "changes": changesErr,
		"grant": grantErr, "extend": extendErr, "transaction": txnErr, "compare": compareErr, "commit": commitErr} {
		if err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
	goldentest.Bytes(t, "requests.txt", service.Requests())
}
