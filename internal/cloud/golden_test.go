package cloud

import (
	"testing"

	"topazhollow/internal/goldentest"
	"topazhollow/internal/protocol"
	"topazhollow/internal/settings"
)

// TestGoldenRequests checks the requests to the cloud, whose format the cloud defines.
func TestGoldenRequests(t *testing.T) {
	service := goldentest.NewService(t, map[string]string{"GET /hosts": `{"estaciones":[{"uid":"n-000231"}],"more":false}`, "POST /hosts": `{"estaciones":["n-000231"]}`})
	c := New(service.Addr, settings.Cloud{RequestsPerSecond: 1000}, 1)
	if _, err := c.Catalog(t.Context()); err != nil {
		t.Fatal(err)
	}
	rented, err := c.ScaleOut(t.Context(), protocol.ScaleOutRequest{Request: "r-17", Type: "g8", Zone: "a", Spot: true, Count: protocol.MaxScaleOut + 1})
	if err != nil || len(rented) != 1 || rented[0] != "n-000231" {
		t.Fatalf("rented %q, error %v", rented, err)
	}
	if err := c.ScaleIn(t.Context(), []string{"n-000231", "n-000198"}); err != nil {
		t.Fatal(err)
	}
	hosts, err := c.List(t.Context())
	if err != nil || len(hosts) != 1 || hosts[0].UID != "n-000231" {
		t.Fatalf("listed %+v, error %v", hosts, err)
	}
	goldentest.Bytes(t, "requests.txt", service.Requests())
}
