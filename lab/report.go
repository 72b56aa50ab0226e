package lab

// This file defines Report, the figures of an experiment beside their targets
// and the baselines.

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Row is one figure.
type Row struct {
	Name      string             `json:"name"`
	Unit      string             `json:"unit"`
	Value     float64            `json:"value"`
	Target    float64            `json:"target,omitempty"`
	Bound     string             `json:"bound,omitempty"` // "at most" or "at least", empty without a target
	Met       bool               `json:"met"`
	Baselines map[Policy]float64 `json:"baselines,omitempty"`
}

// Report is what an experiment found.
type Report struct {
	Experiment string   `json:"experiment"`
	Seed       uint64   `json:"seed"`
	Rows       []Row    `json:"rows"`
	Notes      []string `json:"notes,omitempty"`

	plots map[string][]series
}

type series struct {
	name string
	xy   plotter.XYs
}

// atMost adds a figure with an upper target.
func (r *Report) atMost(name, unit string, value, target float64) {
	r.Rows = append(r.Rows, Row{Name: name, Unit: unit, Value: value, Target: target, Bound: "at most", Met: value <= target})
}

// atLeast adds a figure with a lower target.
func (r *Report) atLeast(name, unit string, value, target float64) {
	r.Rows = append(r.Rows, Row{Name: name, Unit: unit, Value: value, Target: target, Bound: "at least", Met: value >= target})
}

// figure adds a figure without a target.
func (r *Report) figure(name, unit string, value float64) {
	r.Rows = append(r.Rows, Row{Name: name, Unit: unit, Value: value, Met: true})
}

// baseline adds a baseline's figures to the rows, in their order.
func (r *Report) baseline(p Policy, values ...float64) {
	for i, v := range values {
		if r.Rows[i].Baselines == nil {
			r.Rows[i].Baselines = map[Policy]float64{}
		}
		r.Rows[i].Baselines[p] = v
	}
}

// Met reports whether every target was met.
func (r *Report) Met() bool {
	for _, row := range r.Rows {
		if !row.Met {
			return false
		}
	}
	return true
}

// JSON writes the report as JSON.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Table writes the report for people.
func (r *Report) Table(w io.Writer) error {
	fmt.Fprintf(w, "experiment %s, seed %d\n", r.Experiment, r.Seed)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "FIGURE\tOURS\tTARGET\tMET\tFIRST-COME\tPER-ROUTER\tUNIT")
	for _, x := range r.Rows {
		target, met := "", ""
		if x.Bound != "" {
			target = fmt.Sprintf("%s %.4g", x.Bound, x.Target)
			met = map[bool]string{true: "yes", false: "NO"}[x.Met]
		}
		fmt.Fprintf(t, "%s\t%.4g\t%s\t%s\t%s\t%s\t%s\n", x.Name, x.Value, target, met,
			cell(x.Baselines, FirstCome), cell(x.Baselines, PerRouter), x.Unit)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
	return nil
}

func cell(m map[Policy]float64, p Policy) string {
	v, ok := m[p]
	if !ok {
		return ""
	}
	return fmt.Sprintf("%.4g", v)
}

// plotService keeps a meter's samples for a plot.
func (r *Report) plotService(name string, m *Meter) {
	if r.plots == nil {
		r.plots = map[string][]series{}
	}
	for c := range m.service {
		s := series{name: Customer(c)}
		for n, row := range m.samples {
			s.xy = append(s.xy, plotter.XY{X: m.at[n].Seconds(), Y: row[c]})
		}
		r.plots[name] = append(r.plots[name], s)
	}
}

// Plot writes a picture of service per customer over time for each system, as
// PREFIX-NAME.png.
func (r *Report) Plot(prefix string) error {
	for name, list := range r.plots {
		p := plot.New()
		p.Title.Text = r.Experiment + ": " + name
		p.X.Label.Text = "seconds"
		p.Y.Label.Text = "service"
		for _, s := range list {
			line, err := plotter.NewLine(s.xy)
			if err != nil {
				return err
			}
			p.Add(line)
		}
		if err := p.Save(8*vg.Inch, 5*vg.Inch, prefix+"-"+name+".png"); err != nil {
			return err
		}
	}
	return nil
}
