package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/wait"
)

// rewriteSpread spreads the writes of all instances after a restore. It is below the time for which others keep using an
// entry that the store has lost.
const rewriteSpread = time.Second

// storeMetrics counts restores of the store from a copy.
type storeMetrics struct {
	era              tally.Gauge
	restores         tally.Counter
	entriesRewritten tally.Counter
}

func newStoreMetrics(scope tally.Scope) storeMetrics {
	return storeMetrics{
		era:              scope.Gauge("store_era"),
		restores:         scope.Counter("store_restores_total"),
		entriesRewritten: scope.Counter("store_entries_rewritten_total"),
	}
}

// eraChanged logs an era of the store that this instance has learned of.
func (n *Node) eraChanged(c objectstore.EraChange) {
	n.storeMetrics.era.Update(float64(c.Now))
	log := event(n.log, EventStoreEra).WithFields(logrus.Fields{"before": c.Before, "era": c.Now, "source": c.Source})
	if !c.Restored {
		log.Info("era of the store is known")
		return
	}
	n.storeMetrics.restores.Inc(1)
	log.Warn("the store came back from a copy; what was written shortly before is lost until it is written again")
}

// rewriteEntry writes the entry of this instance again after a restored store has lost it.
func (n *Node) rewriteEntry() {
	if n.stopping.Load() {
		return
	}
	n.storeMetrics.entriesRewritten.Inc(1)
	event(n.log, EventEntryMissing).Warn("entry of this instance is missing from the list; writing it again")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), rewriteSpread+callTimeout)
		defer cancel()
		wait.For(ctx, rand.N(rewriteSpread))
		n.register(ctx)
	}()
}
