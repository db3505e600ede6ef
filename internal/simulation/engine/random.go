package engine

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
)

// NewRandom returns the random number generator of a component, by its name and number. Each component has a generator
// of its own, so that one more component, or one more draw in a component, does not change the draws of the others.
func NewRandom(seed uint64, component string, number int) *rand.Rand {
	return rand.New(rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%d/%s/%d", seed, component, number))))
}
