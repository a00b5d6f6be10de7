package peak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestPeak(t *testing.T) {
	const span = time.Minute
	var p Peak[int]
	now := time.Now()
	require.Zero(t, p.Value())
	p.Add(now, span, 16)
	for at := now; at.Before(now.Add(span)); at = at.Add(time.Second) {
		p.Add(at, span, 3)
		require.Equal(t, 16, p.Value())
	}
	p.Add(now.Add(2*span), span, 4)
	p.Add(now.Add(3*span), span, 3)
	require.Equal(t, 4, p.Value())
	p.Add(now.Add(6*span), span, 2)
	require.Equal(t, 2, p.Value())
}
