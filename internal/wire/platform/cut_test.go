package platform_test

import (
	"net/netip"
	"testing"

	"wagtailshelf.example/wagtailshelf/internal/record/object"
	"wagtailshelf.example/wagtailshelf/internal/standin/rawserver"
	"wagtailshelf.example/wagtailshelf/internal/wire/platform"
)

// Guards against the beginning of a head at the platform's address that counts as the confirmation of a write.
func TestCutHeadsConfirmNothing(t *testing.T) {
	for name, call := range map[string]object.Call{
		"read":  {Op: object.Get, Key: "documents/agenda"},
		"write": {Op: object.Put, Key: "documents/agenda", Value: []byte("{}")},
	} {
		t.Run(name, func(t *testing.T) {
			rawserver.RequireHeadsWhole(t, false, func(to netip.AddrPort) error {
				c := platform.New(platform.Config{URL: "http://" + to.String(), Budget: largeBudget})
				defer c.Close()
				return c.Do(t.Context(), call).Err
			})
		})
	}
}
