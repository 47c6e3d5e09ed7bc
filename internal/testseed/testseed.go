// Package testseed sets a fixed seed for property tests and ginkgo specs, so that
// the tests are reproducible. Test files import it for its side effect or for
// RunSpecs.
package testseed

import (
	"flag"
	"os"
	"strconv"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	_ "pgregory.net/rapid" // registers the flags that init sets
)

// EnvVariable is the name of the environment variable that overrides the default
// seed.
const EnvVariable = "VT_SEED"

const defaultSeed = 20261203

// Seed returns the seed of this test run. An EnvVariable that is zero or not a
// decimal number is ignored.
func Seed() int64 {
	seed, err := strconv.ParseInt(os.Getenv(EnvVariable), 10, 64)
	if err != nil || seed == 0 {
		return defaultSeed
	}
	return seed
}

func init() {
	set("rapid.seed", strconv.FormatInt(Seed(), 10))
	set("rapid.nofailfile", "true")
}

func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic("testseed: " + err.Error())
	}
}

// RunSpecs runs the ginkgo specs of a package in the random order that the seed
// determines.
func RunSpecs(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = Seed()
	ginkgo.RunSpecs(t, name, suite, reporter)
}
