package main

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestFit(t *testing.T) {
	l := fit([]float64{1, 2, 4}, []float64{5, 7, 11})
	assert.InDelta(t, 3, l.intercept, 1e-9)
	assert.InDelta(t, 2, l.slope, 1e-9)
	assert.InDelta(t, 1, l.r2, 1e-9)
}
