package openload

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/platformlocal"
)

// Kind is a kind of operation with its rate and time limits.
type Kind struct {
	Name                string
	Route               string        // suffix of the route name, after the database name
	Rate                float64       // operations per second
	WriteShare          float64       // fraction of statements
	TxShare             float64       // fraction of operations that are transactions
	SessionPerOperation bool          // each operation opens its own session
	LatencyTarget       time.Duration // slower operations count as late
	Timeout             time.Duration // time after which callers stop retrying
	Retries             int
}

// Sheet describes the load on one of the users' deployments and the size of that deployment.
type Sheet struct {
	Name      string
	Kinds     []Kind
	Databases platformlocal.Databases
	Instances int
}

// Sheets are the users' deployments with the rates, shares and times that they state. The service time is the mean over
// their kinds, weighted by rate.
var Sheets = []Sheet{
	{Name: "prairie", Instances: 8, Databases: platformlocal.Databases{Count: 3, Slots: 3, ServiceTime: 18 * time.Millisecond, MaxConnections: 23}, Kinds: []Kind{
		{Name: "bookings", Route: platformlocal.StrictRouteSuffix, Rate: 54.1, WriteShare: 0.35, TxShare: 0.4, LatencyTarget: 600 * time.Millisecond, Timeout: 10 * time.Second, Retries: 2},
		{Name: "stocklist", Route: platformlocal.BoundedRouteSuffix, Rate: 54.1, TxShare: 0.1, SessionPerOperation: true, LatencyTarget: time.Second, Timeout: 15 * time.Second, Retries: 2},
		{Name: "manifests", Route: platformlocal.SessionRouteSuffix, Rate: 252, WriteShare: 0.12, TxShare: 0.12, LatencyTarget: time.Second, Timeout: 10 * time.Second, Retries: 2},
	}},
	{Name: "malabar", Instances: 6, Databases: platformlocal.Databases{Count: 3, Slots: 5, ServiceTime: 33 * time.Millisecond, MaxConnections: 50}, Kinds: []Kind{
		{Name: "collection-entry", Route: platformlocal.StrictRouteSuffix, Rate: 54, WriteShare: 0.2, TxShare: 0.25, LatencyTarget: 400 * time.Millisecond, Timeout: 6 * time.Second, Retries: 2},
		{Name: "farmer-statement", Route: platformlocal.BoundedRouteSuffix, Rate: 54, TxShare: 0.1, SessionPerOperation: true, LatencyTarget: time.Second, Timeout: 15 * time.Second, Retries: 2},
		{Name: "settlement-run", Route: platformlocal.SessionRouteSuffix, Rate: 252, WriteShare: 0.12, TxShare: 0.12, LatencyTarget: 800 * time.Millisecond, Timeout: 6 * time.Second, Retries: 2},
	}},
}

// SheetByName returns the sheet with a name.
func SheetByName(name string) (Sheet, error) {
	for _, s := range Sheets {
		if s.Name == name {
			return s, nil
		}
	}
	return Sheet{}, errors.Newf("sheet %q is not known; use prairie or malabar", name)
}

// Scaled returns a copy of the sheet with all rates multiplied by factor.
func (s Sheet) Scaled(factor float64) Sheet {
	kinds := slices.Clone(s.Kinds)
	for i := range kinds {
		kinds[i].Rate *= factor
	}
	s.Kinds = kinds
	return s
}
