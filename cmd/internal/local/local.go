// Package local starts a whole deployment in one process, over real sockets on loopback: a stand-in
// store, stand-in database groups and instances of the proxy. The demo, the bench and tests use it.
package local

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/decision/manifest"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/proxy/daemon"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
	"github.com/cyclamenstile/cyclamenstile/standin/store"
)

// DatabaseName is the name of the deployment's only database.
const DatabaseName = "orders"

// Account is a client account and its key in clear text, as callers use it.
type Account struct {
	Name   string
	Weight int
	Rate   float64 // statements per second over all instances
	Burst  float64
	Key    string // drawn by Start if empty
}

// Config describes a deployment.
type Config struct {
	Instances int
	Server    database.Config // shared settings of the database servers
	Accounts  []Account
	Routes    []manifest.Route
	Listeners []net.Listener // for callers of the instances; drawn on loopback where missing
	Log       logrus.FieldLogger
	// Adjust, if set, changes the settings of an instance before it starts.
	Adjust func(i int, c *daemon.Config)
	// ServerAddress, if set, returns the address at which instances reach a database server, so
	// that a relay can stand in between.
	ServerAddress func(id, address string) string
	// PeerAddress, if set, returns the address at which a database server reaches another one.
	PeerAddress func(from, to authority.ServerID, address string) string
	// ServerLocalities and InstanceLocalities tell where servers and instances are, in turns. Without
	// places everything is in one region, in three failure domains.
	ServerLocalities, InstanceLocalities []Locality
}

// Locality is where a server or an instance is.
type Locality struct {
	Region        string
	FailureDomain string
}

// defaultLocalities are three failure domains of one region.
var defaultLocalities = []Locality{{"local", "local-a"}, {"local", "local-b"}, {"local", "local-c"}}

func localityOf(places []Locality, i int) Locality {
	if len(places) == 0 {
		places = defaultLocalities
	}
	return places[i%len(places)]
}

// Instance is one running instance of the proxy.
type Instance struct {
	ID          string
	Address     string // for callers
	PeerAddress string
	OpsAddress  string
	stop        context.CancelFunc
	done        chan struct{}
	err         error
}

// Stop stops the instance gracefully and waits for its end.
func (i *Instance) Stop() error {
	i.stop()
	<-i.done
	return i.err
}

// Deployment is a running deployment. Its methods are to be called by one goroutine at a time.
type Deployment struct {
	Store     *store.Server
	Group     *database.Group
	Accounts  []Account
	Instances []*Instance

	cfg      Config
	client   *httpstore.Client
	manifest manifest.Manifest
	revision uint64
	cleanup  sync.Once
}

// Start starts everything and waits until all instances know the manifest and the primary.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	d := &Deployment{cfg: cfg}
	for _, step := range []func(context.Context) error{
		d.startStore, d.startGroup, d.storeFirstManifest, d.startInstances, d.awaitReady,
	} {
		if err := step(ctx); err != nil {
			d.Close()
			return nil, err
		}
	}
	return d, nil
}

// Close stops the instances gracefully, then the stand-ins.
func (d *Deployment) Close() {
	d.cleanup.Do(func() {
		var stops sync.WaitGroup
		for _, i := range d.Instances {
			stops.Go(func() { _ = i.Stop() })
		}
		stops.Wait()
		if d.Group != nil {
			d.Group.Close()
		}
		if d.client != nil {
			d.client.Close()
		}
		if d.Store != nil {
			_ = d.Store.Close()
		}
	})
}

// Key returns the key of an account.
func (d *Deployment) Key(account string) string {
	for _, a := range d.Accounts {
		if a.Name == account {
			return a.Key
		}
	}
	return ""
}

// Manifest returns the manifest that was applied last.
func (d *Deployment) Manifest() manifest.Manifest {
	return d.manifest
}

// Apply changes the manifest and stores it as the next version.
func (d *Deployment) Apply(ctx context.Context, change func(*manifest.Manifest)) error {
	next, err := d.copyManifest()
	if err != nil {
		return err
	}
	change(&next)
	next.Version++
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the manifest")
	}
	if _, err := manifest.Parse(value); err != nil {
		return errors.Wrap(err, "check the manifest")
	}
	revision, err := d.client.Put(ctx, manifest.StoreKey, value, d.revision)
	if err != nil {
		return errors.Wrap(err, "store the manifest")
	}
	d.manifest, d.revision = next, revision
	return nil
}

func (d *Deployment) copyManifest() (manifest.Manifest, error) {
	value, err := json.Marshal(d.manifest)
	if err != nil {
		return manifest.Manifest{}, err
	}
	var c manifest.Manifest
	return c, json.Unmarshal(value, &c)
}

// WithdrawKeys applies a manifest without the keys of an account. The account keeps its name and
// gets a new key that nobody uses, since an account needs one.
func (d *Deployment) WithdrawKeys(ctx context.Context, account string) error {
	return d.Apply(ctx, func(m *manifest.Manifest) {
		for i := range m.Accounts {
			if m.Accounts[i].Name == account {
				m.Accounts[i].Keys = []manifest.Key{hashedKey("replacement", rand.Text())}
			}
		}
	})
}

func (d *Deployment) startStore(context.Context) error {
	var err error
	if d.Store, err = store.Start("127.0.0.1:0"); err != nil {
		return err
	}
	d.client, err = httpstore.New(httpstore.Config{BaseURL: d.Store.URL()})
	return err
}

func (d *Deployment) startGroup(context.Context) error {
	var err error
	d.Group, err = database.StartGroup(database.GroupConfig{Server: d.cfg.Server, PeerAddress: d.cfg.PeerAddress})
	return err
}

func (d *Deployment) storeFirstManifest(ctx context.Context) error {
	m := manifest.Manifest{APIVersion: manifest.APIVersion, Routes: d.cfg.Routes}
	db := manifest.Database{Name: DatabaseName}
	for i := range d.Group.Size() {
		db.Servers = append(db.Servers, d.serverEntry(i))
	}
	m.Databases = []manifest.Database{db}
	for _, a := range d.cfg.Accounts {
		if a.Key == "" {
			a.Key = rand.Text() + rand.Text()
		}
		d.Accounts = append(d.Accounts, a)
		m.Accounts = append(m.Accounts, manifest.Account{
			Name: a.Name, Weight: a.Weight, Rate: a.Rate, Burst: a.Burst,
			Keys: []manifest.Key{hashedKey("first", a.Key)},
		})
	}
	d.manifest = m
	return d.Apply(ctx, func(*manifest.Manifest) {})
}

func (d *Deployment) serverEntry(i int) manifest.Server {
	s := d.Group.Server(i)
	address := s.Address()
	if d.cfg.ServerAddress != nil {
		address = d.cfg.ServerAddress(string(s.ID()), address)
	}
	place := localityOf(d.cfg.ServerLocalities, i)
	return manifest.Server{
		ID:             string(s.ID()),
		Address:        address,
		Region:         place.Region,
		FailureDomain:  place.FailureDomain,
		MaxConnections: orDefault(d.cfg.Server.MaxConnections, 100),
		Slots:          orDefault(d.cfg.Server.Slots, 64),
	}
}

func orDefault(n, standard int) int {
	if n == 0 {
		return standard
	}
	return n
}

func hashedKey(id, key string) manifest.Key {
	return manifest.Key{ID: id, SHA256: manifest.HashKey(key).String()}
}

func (d *Deployment) startInstances(ctx context.Context) error {
	daemons := make([]*daemon.Daemon, 0, d.cfg.Instances)
	var list []objectstore.Instance
	for i := range d.cfg.Instances {
		cfg, err := d.instanceConfig(i)
		if err != nil {
			return err
		}
		dm, err := daemon.New(cfg)
		if err != nil {
			return err
		}
		_, peerAddress, _ := dm.Addresses()
		list = append(list, objectstore.Instance{
			ID: cfg.InstanceID, PeerAddress: peerAddress, Region: cfg.Region, FailureDomain: cfg.FailureDomain,
		})
		daemons = append(daemons, dm)
	}
	if err := d.SetInstances(ctx, list); err != nil {
		return err
	}
	for i, dm := range daemons {
		d.runInstance(ctx, list[i].ID, dm)
	}
	return nil
}

// SetInstances writes the platform's instance list.
func (d *Deployment) SetInstances(ctx context.Context, list []objectstore.Instance) error {
	value, err := json.Marshal(list)
	if err != nil {
		return err
	}
	object, err := d.client.Get(ctx, httpstore.InstancesKey)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return err
	}
	_, err = d.client.Put(ctx, httpstore.InstancesKey, value, object.Version)
	return errors.Wrap(err, "store the instance list")
}

func (d *Deployment) instanceConfig(i int) (daemon.Config, error) {
	place := localityOf(d.cfg.InstanceLocalities, i)
	cfg := daemon.Config{
		InstanceID:    fmt.Sprintf("proxy-%d", i+1),
		Region:        place.Region,
		FailureDomain: place.FailureDomain,
		Listen:        "127.0.0.1:0",
		PeerListen:    "127.0.0.1:0",
		OpsListen:     "127.0.0.1:0",
		StoreURL:      d.Store.URL(),
		AllowPlain:    true,
		UpstreamUser:  userOrDefault(d.cfg.Server.User),
		Log:           d.cfg.Log,
		ListPoll:      time.Second,
	}
	cfg.UpstreamPassword = d.cfg.Server.Password
	if i < len(d.cfg.Listeners) {
		cfg.Listener = d.cfg.Listeners[i]
	}
	if d.cfg.Adjust != nil {
		d.cfg.Adjust(i, &cfg)
	}
	return cfg, nil
}

func userOrDefault(user string) string {
	if user == "" {
		return "cyclamenstile"
	}
	return user
}

func (d *Deployment) runInstance(ctx context.Context, id string, dm *daemon.Daemon) {
	callers, peers, ops := dm.Addresses()
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	instance := &Instance{ID: id, Address: callers, PeerAddress: peers, OpsAddress: ops, stop: stop, done: make(chan struct{})}
	d.Instances = append(d.Instances, instance)
	go func() {
		defer close(instance.done)
		instance.err = dm.Run(ctx)
	}()
}
