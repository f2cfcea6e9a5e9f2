package main

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFitLine(t *testing.T) {
	exact := fitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
	assert.Assert(t, math.Abs(exact.A-3) < 1e-9 && math.Abs(exact.B-2) < 1e-9 && exact.Residual < 1e-9)
	off := fitLine([]Point{{0, 0}, {1, 3}, {2, 0}})
	assert.Assert(t, math.Abs(off.A-1) < 1e-9 && math.Abs(off.B) < 1e-9)
	assert.Assert(t, math.Abs(off.Residual-math.Sqrt2) < 1e-9)
}
