// Package standincmd holds the commands that run the stand-ins as processes of their own, for
// trying the product and for process tests. They are no product for data that matters.
package standincmd

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/cyclamenstile/cyclamenstile/decision/authority"
	"github.com/cyclamenstile/cyclamenstile/standin/database"
	"github.com/cyclamenstile/cyclamenstile/standin/store"
)

// New returns the standin command.
func New() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run stand-ins of the platform for trials and tests",
	}
	cmd.AddCommand(newStore(), newServer())
	return cmd
}

func newStore() *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:   "store",
		Short: "Run a stand-in of the platform's object store, in memory",
		Long:  "store serves an empty object store over HTTP until it is interrupted. It prints its address on the first line.",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := store.Start(listen)
			if err != nil {
				return errors.Wrap(err, "--listen: can't listen; choose a free address")
			}
			fmt.Fprintln(cmd.OutOrStdout(), s.URL())
			<-cmd.Context().Done()
			return s.Close()
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7000", "IP:port")
	return cmd
}

const serverHelp = `server runs one server of a stand-in database group over the PostgreSQL protocol until it is
interrupted. It prints its address on the first line. It holds one table, kv(key text, value
text), and follows the primary among its peers.`

func newServer() *cobra.Command {
	c := database.Config{}
	var id string
	var peers []string
	cmd := &cobra.Command{
		Use:   "server",
		Short: "Run one server of a stand-in database group",
		Long:  serverHelp,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var err error
			c.ID = authority.ServerID(id)
			if c.Peers, err = parsePeers(peers); err != nil {
				return err
			}
			s, err := database.Start(c)
			if err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), s.Address())
			<-cmd.Context().Done()
			return s.Close()
		},
	}
	f := cmd.Flags()
	f.StringVar(&id, "id", "", "name of the server, as in the manifest")
	f.StringVar(&c.Listen, "listen", "127.0.0.1:0", "IP:port")
	f.StringSliceVar(&peers, "peer", nil, "other server of the group as name=IP:port; repeat for each")
	f.BoolVar(&c.Primary, "primary", false, "start as the primary of term 1 with an empty journal")
	f.StringVar(&c.User, "user", "", "accepted user; empty accepts all")
	f.StringVar(&c.Password, "password", "", "password of the user; empty trusts every caller")
	f.StringVar(&c.DataDir, "data-dir", "", "directory of the journal; empty keeps it in memory")
	f.DurationVar(&c.ReplicationLag, "replication-lag", 0, "time from a commit to its visibility on this replica")
	f.DurationVar(&c.ReplicationJitter, "replication-jitter", 0, "random addition to the lag")
	f.Uint64Var(&c.Seed, "seed", 1, "seed of the jitter")
	f.DurationVar(&c.ConnectCost, "connect-cost", 0, "time that a new connection takes")
	f.IntVar(&c.MaxConnections, "max-connections", 0, "client connections; 0 for no limit")
	f.IntVar(&c.Slots, "slots", 0, "statements in execution; 0 for no limit")
	f.DurationVar(&c.ServiceTime, "service-time", 0, "time that a statement takes")
	if err := cmd.MarkFlagRequired("id"); err != nil {
		panic(err) // the flag is defined above
	}
	return cmd
}

func parsePeers(peers []string) (map[authority.ServerID]string, error) {
	parsed := make(map[authority.ServerID]string, len(peers))
	for _, p := range peers {
		name, address, ok := strings.Cut(p, "=")
		if !ok || name == "" || address == "" {
			return nil, errors.Newf("--peer: %q is not name=IP:port", p)
		}
		parsed[authority.ServerID(name)] = address
	}
	return parsed, nil
}
