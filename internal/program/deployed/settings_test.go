package deployed

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that does not start where the platform names no number of descriptors.
func TestDescriptors(t *testing.T) {
	const text = "role: sidecar\nname: p\naddress: 127.0.0.1\ndataCentre: z\nstore: 127.0.0.1:1\nmemoryMB: 100\n" +
		"listen: {metrics: \"127.0.0.1:2\", peers: \"127.0.0.1:3\"}\ntarget: {address: \"127.0.0.1:4\", service: s}\n" +
		"bounds: {apply: 2s, revoke: 5s, drain: 2s, grace: 8s, repeatWindow: 10s}\n"
	for value, want := range map[string]int{`""`: 0, `'{"max_fds": 4100}'`: 4100, `'{"max_fds": 4100.0}'`: 4100, `'{"max_fds": 4.1e3}'`: 4100, `'{"memory_mb": 100}'`: 0} {
		s, findings := Load("s.yaml", []byte(text+"limits: "+value+"\n"))
		require.NoError(t, findings.Err(), value)
		require.Equal(t, want, s.Limits.Descriptors)
		require.Positive(t, s.Resources().Descriptors)
	}
	for _, value := range []string{`"x"`, `4100`, `'{"max_fds": -1}'`, `'{"max_fds": 1.5}'`, `'{"max_fds": "x"}'`} {
		_, findings := Load("s.yaml", []byte(text+"limits: "+value+"\n"))
		require.Error(t, findings.Err(), value)
	}
}

// Guards against a process that does not start where the platform writes its memory as a fraction.
func TestMemory(t *testing.T) {
	const text = "role: sidecar\nname: p\naddress: 127.0.0.1\ndataCentre: z\nstore: 127.0.0.1:1\n" +
		"listen: {metrics: \"127.0.0.1:2\", peers: \"127.0.0.1:3\"}\ntarget: {address: \"127.0.0.1:4\", service: s}\n" +
		"bounds: {apply: 2s, revoke: 5s, drain: 2s, grace: 8s, repeatWindow: 10s}\n"
	for value, want := range map[string]int64{"284": 284_000_000, "284.0": 284_000_000, "283.5": 283_500_000} {
		s, findings := Load("s.yaml", []byte(text+"memoryMB: "+value+"\n"))
		require.NoError(t, findings.Err(), value)
		require.Equal(t, want, s.Resources().Memory)
	}
	for _, value := range []string{"0", "-1", ".nan", ".inf", "many"} {
		_, findings := Load("s.yaml", []byte(text+"memoryMB: "+value+"\n"))
		require.Error(t, findings.Err(), value)
	}
}

// Guards against a process that waits in vain for an address that one of its own listeners has.
func TestListenersHaveDifferentAddresses(t *testing.T) {
	const text = "name: p\naddress: 127.0.0.1\ndataCentre: z\nstore: 127.0.0.1:1\nmemoryMB: 100\n" +
		"target: {address: \"127.0.0.1:4\", service: s}\nbounds: {apply: 2s, revoke: 5s, drain: 2s, grace: 8s, repeatWindow: 10s}\n"
	for listen, different := range map[string]bool{
		`role: entry` + "\n" + `listen: {callers: "127.0.0.1:5", readiness: "127.0.0.1:6", metrics: "127.0.0.1:7", peers: "127.0.0.1:7"}`: true,
		`role: entry` + "\n" + `listen: {callers: "127.0.0.1:5", readiness: "127.0.0.1:6", metrics: "127.0.0.1:5", peers: "127.0.0.1:8"}`: false,
		`role: entry` + "\n" + `listen: {callers: "127.0.0.1:5", readiness: "127.0.0.1:5", metrics: "127.0.0.1:7", peers: "127.0.0.1:8"}`: false,
		`role: entry` + "\n" + `listen: {callers: "127.0.0.1:5", readiness: "127.0.0.2:5", metrics: "127.0.0.3:5", peers: "127.0.0.1:8"}`: true,
		`role: sidecar` + "\n" + `listen: {metrics: "127.0.0.1:7", peers: "127.0.0.1:8"}`:                                                 true,
		`role: sidecar` + "\n" + `listen: {metrics: "127.0.0.1:7", peers: "127.0.0.1:7"}`:                                                 false,
	} {
		_, findings := Load("s.yaml", []byte(text+listen+"\n"))
		require.Equal(t, different, findings.Err() == nil, "%s: %v", listen, findings)
	}
}
