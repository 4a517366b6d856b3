package httpfront

import (
	"fmt"
	"testing"

	"dewhill/control"
)

// TestTenant checks to which tenant a request is assigned: the tenant that it names, or
// no tenant if it names none or one that is not configured. The request is submitted in
// each case, except if it names two tenants.
func TestTenant(t *testing.T) {
	tenants := []string{"north", "south"}
	cases := []struct {
		name, head   string
		tenants      []string
		status, want int
		unknown      int // requests counted as without a configured tenant
	}{
		{"first", "Req-Owner: north\r\n", tenants, 0, 0, 0},
		{"second", "Req-Owner: south\r\n", tenants, 0, 1, 0},
		{"absent", "", tenants, 0, control.NoTenant, 1},
		{"empty", "Req-Owner: \r\n", tenants, 0, control.NoTenant, 1},
		{"not configured", "Req-Owner: west\r\n", tenants, 0, control.NoTenant, 1},
		{"other case", "Req-Owner: North\r\n", tenants, 0, control.NoTenant, 1},
		{"a tenant without a name", "", []string{"", "north"}, 0, control.NoTenant, 1},
		{"twice", "Req-Owner: north\r\nReq-Owner: south\r\n", tenants, 400, 0, 0},
		{"no tenants at all", "Req-Owner: north\r\n", nil, 0, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			loop, server, conn := newRecordingServer(c.tenants...)
			const id = "9b1f03aa5c7e2d41"
			text := fmt.Sprintf("POST /api/v2/lookup HTTP/1.1\r\nReq-Id: %s\r\nReq-Wait-Ms: 900\r\n%sContent-Length: 1\r\n\r\nx", id, c.head)
			if err := send(server, conn, text); err != nil {
				t.Fatal(err)
			}
			request, submitted := loop.submitted[id]
			if submitted != (c.status == 0) {
				t.Fatalf("submitted %v, want %v", submitted, c.status == 0)
			}
			if request.Tenant != c.want {
				t.Errorf("tenant %d, want %d", request.Tenant, c.want)
			}
			if server.Counters.UnknownTenants != c.unknown {
				t.Errorf("%d requests counted without a tenant, want %d", server.Counters.UnknownTenants, c.unknown)
			}
		})
	}
}
