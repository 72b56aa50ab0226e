package main

// This file defines the preview command, which asks a running router where a request would go now, and why.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"bulrushtally/gateway"
	"bulrushtally/placement"
	"bulrushtally/responsehead"
)

// previewTimeout is how long the command waits for the router.
const previewTimeout = 5 * time.Second

func previewCommand() *cli.Command {
	return &cli.Command{
		Name:      "preview",
		Usage:     "ask a running router where a request would go now, and why; nothing is sent",
		ArgsUsage: "ADDRESS (of the router's metrics)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "service", Required: true, Usage: "service of the request"},
			&cli.StringFlag{Name: "customer", Usage: "name of the customer"},
			&cli.IntFlag{Name: "prompt", Usage: "prompt length in tokens; 0 for a plain service"},
			&cli.IntFlag{Name: "output", Value: 200, Usage: "expected output length in tokens"},
			&cli.IntFlag{Name: "objective-ms", Value: 400, Usage: "time allowed to the first event in milliseconds"},
			&cli.IntFlag{Name: "gap-ms", Usage: "longest allowed event gap in milliseconds; 0 for the default"},
			&cli.StringFlag{Name: "segments", Usage: "shared segments of the prompt, as ID:TOKENS with IDs in hexadecimal, separated by commas"},
			&cli.IntFlag{Name: "servers", Value: 20, Usage: "number of servers to print"},
			&cli.BoolFlag{Name: "json", Usage: "print the router's answer as JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return errors.New("the router's address is missing; usage: preview --service NAME ADDRESS")
			}
			v, err := askPreview(ctx, c.Args().First(), previewQuery(c))
			if err != nil {
				return err
			}
			if c.Bool("json") {
				return printJSON(v)
			}
			return printPreview(c.Root().Writer, v, c.Int("servers"))
		},
	}
}

// previewQuery returns the query that describes the request.
func previewQuery(c *cli.Command) url.Values {
	q := url.Values{"service": {c.String("service")}, "customer": {c.String("customer")}, "segments": {c.String("segments")}}
	for flag, name := range map[string]string{"prompt": "prompt", "output": "output", "objective-ms": "objective_ms", "gap-ms": "gap_ms"} {
		q.Set(name, strconv.Itoa(c.Int(flag)))
	}
	return q
}

// dialRouter connects to a router. Broken responses are errors on the connection.
func dialRouter(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return responsehead.Wrap(d.DialContext(ctx, network, address))
}

// askPreview asks the router at an address. It fails if the router does not answer, or refuses the query.
func askPreview(ctx context.Context, address string, query url.Values) (*placement.Preview, error) {
	ctx, cancel := context.WithTimeout(ctx, previewTimeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: gateway.PreviewPath, RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), nil)
	if err != nil {
		return nil, err
	}
	client := http.Client{Transport: &http.Transport{Proxy: http.ProxyFromEnvironment, DialContext: dialRouter, DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no answer; give the address in the section [metrics] of the router's settings: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(res.Body, 1024))
		return nil, fmt.Errorf("the router answered %d: %s", res.StatusCode, strings.TrimSpace(string(text)))
	}
	v := &placement.Preview{}
	if err := json.NewDecoder(res.Body).Decode(v); err != nil {
		return nil, fmt.Errorf("the answer is no preview; is this a router's metrics address: %w", err)
	}
	return v, nil
}

// printPreview prints a preview with at most a number of servers.
func printPreview(out io.Writer, v *placement.Preview, servers int) error {
	switch {
	case v.MustWait:
		fmt.Fprintf(out, "waits: an earlier request of the customer waits (%d wait for the service)\n", v.Waiting)
	case v.Server != "":
		fmt.Fprintf(out, "goes to %s\n", v.Server)
	default:
		fmt.Fprintf(out, "waits, and is refused (%s) if no server gets room in time (%d wait for the service)\n", v.Reason, v.Waiting)
	}
	fmt.Fprintf(out, "router in %s; customer over its share: %t; long prompt: %t; owner of the shared segments: %s\n", v.Zone, v.OverShare, v.LongPrompt, orNone(v.Owner))
	if v.Spillover != "" {
		fmt.Fprintf(out, "leaving the zone: %s, mean price %.1f ms\n", v.Spillover, v.LeavingPriceMs)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if len(v.Zones) > 0 {
		fmt.Fprintln(table, "ZONE\tWARM SERVERS\tFREE\tUTILIZATION\tREPORT AGE\tOUT OF SERVICE")
	}
	for _, z := range v.Zones {
		age := "none"
		if z.Heard {
			age = z.ReportAge.Round(time.Millisecond).String()
		}
		fmt.Fprintf(table, "%s\t%d\t%.0f\t%.2f\t%s\t%t\n", z.Name, z.Servers, z.Free, z.Utilization, age, z.OutOfService)
	}
	fmt.Fprintln(table, "SERVER\tZONE\tOUTCOME\tPREFILL\tRUNNING\tCOST MS\tFIRST EVENT MS\tPREFILL TOKENS\tMISSING TOKENS\tFETCHED FROM")
	for _, s := range v.Servers[:min(max(0, servers), len(v.Servers))] {
		fmt.Fprintf(table, "%s\t%s\t%s\t%t\t%d/%d\t%.1f\t%.1f\t%d\t%d\t%s\n", s.ID, s.Zone, s.Outcome, s.Prefill, s.Running, s.Slots, s.CostMs, s.FirstEventMs, s.PrefillTokens, s.MissingTokens, orNone(s.KVSource))
	}
	return table.Flush()
}

// orNone returns a name, or "none" for an empty one.
func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}
