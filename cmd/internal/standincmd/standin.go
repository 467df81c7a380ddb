// Package standincmd contains the commands that run the stand-ins as separate processes, for trials
// and process tests. The stand-ins are not meant for production data.
package standincmd

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/cmd/internal/ctl"
	"github.com/cyclamenstile/cyclamenstile/cmd/internal/flagenv"
	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/objectstore"
	"github.com/cyclamenstile/cyclamenstile/objectstore/httpstore"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
	"github.com/cyclamenstile/cyclamenstile/standin/store"
)

// New returns the standin command.
func New() *cobra.Command {
	cmd := ctl.Group(&cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins of the platform for trials and tests",
	})
	cmd.AddCommand(newStore(), newServer())
	return cmd
}

func newStore() *cobra.Command {
	var listen string
	var instances []string
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Run a stand-in of the platform's object store, in memory",
		Long:  storeHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := store.Start(listen)
			if err != nil {
				return errors.Wrap(err, "--listen: can't listen; choose a free address")
			}
			defer func() { _ = s.Close() }()
			if err := storeInstanceList(cmd.Context(), s.URL(), instances); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), s.URL())
			<-cmd.Context().Done()
			return nil
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "IP:port")
	cmd.Flags().StringSliceVar(&instances, "instance", nil, "entry of the platform's instance list as name=IP:port of its peer listener; repeat for each")
	return cmd
}

// storeInstanceList stores the platform's instance list, unless instances is empty.
func storeInstanceList(ctx context.Context, url string, instances []string) error {
	if len(instances) == 0 {
		return nil
	}
	var list []objectstore.Instance
	for _, text := range instances {
		name, address, err := parseNamedAddress("instance", text)
		if err != nil {
			return err
		}
		list = append(list, objectstore.Instance{ID: name, PeerAddress: address})
	}
	value, err := json.Marshal(list)
	if err != nil {
		return err
	}
	client, err := httpstore.New(httpstore.Config{BaseURL: url})
	if err != nil {
		return err
	}
	defer client.Close()
	_, err = client.Put(ctx, httpstore.InstancesKey, value, 0)
	return errors.Wrap(err, "store the instance list")
}

const storeHelp = `store serves an object store over HTTP until it is interrupted. It is empty but for the platform's
instance list, if any --instance is given. It prints its address on the first line.`

const serverHelp = `server runs one server of a stand-in database group over the PostgreSQL protocol until it is
interrupted. It prints its address on the first line. It holds one table, kv(key text, value
text), and follows the primary among its peers.`

func newServer() *cobra.Command {
	config := database.Config{}
	var id string
	var peers []string
	cmd := &cobra.Command{
		Use:   "server",
		Short: "Run one server of a stand-in database group",
		Long:  serverHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			config.ID = authority.ServerID(id)
			if config.Peers, err = parsePeers(peers); err != nil {
				return err
			}
			s, err := database.Start(config)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), s.Address())
			<-cmd.Context().Done()
			return s.Close()
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&id, "id", "", "name of the server, as in the manifest")
	flags.StringVar(&config.Listen, "listen", "127.0.0.1:0", "IP:port")
	flags.StringSliceVar(&peers, "peer", nil, "other server of the group as name=IP:port; repeat for each")
	flags.BoolVar(&config.Primary, "primary", false, "start as the primary of term 1 with an empty journal")
	flags.StringVar(&config.User, "user", "", "accepted user; empty accepts all")
	flags.StringVar(&config.Password, "password", "", "password of the user; empty trusts every caller")
	flags.StringVar(&config.DataDir, "data-dir", "", "directory of the journal; empty keeps it in memory")
	flags.DurationVar(&config.ReplicationLag, "replication-lag", 0, "time from a commit to its visibility on this replica")
	flags.DurationVar(&config.ReplicationJitter, "replication-jitter", 0, "random addition to the lag")
	flags.Uint64Var(&config.Seed, "seed", 1, "seed of the jitter")
	flags.DurationVar(&config.ConnectCost, "connect-cost", 0, "time that a new connection takes")
	flags.IntVar(&config.MaxConnections, "max-connections", 0, "client connections; 0 for no limit")
	flags.IntVar(&config.Slots, "slots", 0, "statements in execution; 0 for no limit")
	flags.DurationVar(&config.ServiceTime, "service-time", 0, "time that a statement takes")
	if err := cmd.MarkFlagRequired("id"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}

func parsePeers(peers []string) (map[authority.ServerID]string, error) {
	parsed := make(map[authority.ServerID]string, len(peers))
	for _, p := range peers {
		name, address, err := parseNamedAddress("peer", p)
		if err != nil {
			return nil, err
		}
		parsed[authority.ServerID(name)] = address
	}
	return parsed, nil
}

func parseNamedAddress(flag, text string) (name, address string, err error) {
	name, address, ok := strings.Cut(text, "=")
	if _, err := netip.ParseAddrPort(address); !ok || name == "" || err != nil {
		return "", "", flagenv.UsageError{Err: errors.Newf("--%s: %q is not name=IP:port", flag, text)}
	}
	return name, address, nil
}
