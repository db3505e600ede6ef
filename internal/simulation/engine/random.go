package engine

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
)

// NewRandom returns the random number generator of the component with a name and a number. Each component has its own
// generator, so that adding a component, or a draw in one component, does not change the draws of the others.
func NewRandom(seed uint64, component string, number int) *rand.Rand {
	return rand.New(rand.NewChaCha8(sha256.Sum256(fmt.Appendf(nil, "%d/%s/%d", seed, component, number))))
}
