// Package testseed gives property tests and specs a fixed seed, so that two
// runs of the tests give the same verdict. Test files import it, for its
// effect alone or for RunSpecs.
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

// EnvVariable is the environment variable that overrides the default seed.
const EnvVariable = "VT_SEED"

const defaultSeed = 20261203

// Seed returns the seed of this run.
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

// RunSpecs runs the package's ginkgo specs in the order of the seed.
func RunSpecs(t *testing.T, name string) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	suite, reporter := ginkgo.GinkgoConfiguration()
	suite.RandomSeed = Seed()
	ginkgo.RunSpecs(t, name, suite, reporter)
}
