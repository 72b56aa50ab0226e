package lab

// This file defines Report, the figures that an experiment measured, with their targets
// and the figures of the baselines.

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Row is one measured figure.
type Row struct {
	Name      string             `json:"name"`
	Unit      string             `json:"unit"`
	Value     float64            `json:"value"`
	Target    float64            `json:"target,omitempty"`
	Bound     string             `json:"bound,omitempty"` // whether Target is the limit "at most" or "at least"; empty without a target
	Met       bool               `json:"met"`
	Baselines map[Policy]float64 `json:"baselines,omitempty"`
}

// Report holds the results of an experiment.
type Report struct {
	Experiment string   `json:"experiment"`
	Seed       uint64   `json:"seed"`
	Rows       []Row    `json:"rows"`
	Notes      []string `json:"notes,omitempty"`

	plots map[string][]series // service of each customer, by the name of the plot
}

// series is a named line of a plot.
type series struct {
	name   string
	points plotter.XYs
}

// addAtMost adds a figure whose target is an upper limit.
func (r *Report) addAtMost(name, unit string, value, target float64) {
	r.Rows = append(r.Rows, Row{Name: name, Unit: unit, Value: value, Target: target, Bound: "at most", Met: value <= target})
}

// addAtLeast adds a figure whose target is a lower limit.
func (r *Report) addAtLeast(name, unit string, value, target float64) {
	r.Rows = append(r.Rows, Row{Name: name, Unit: unit, Value: value, Target: target, Bound: "at least", Met: value >= target})
}

// addFigure adds a measured value without a target.
func (r *Report) addFigure(name, unit string, value float64) {
	r.Rows = append(r.Rows, Row{Name: name, Unit: unit, Value: value, Met: true})
}

// addBaseline adds the values of another policy to the first rows, in the order of the rows.
// It panics if there are more values than rows.
func (r *Report) addBaseline(p Policy, values ...float64) {
	for i, v := range values {
		if r.Rows[i].Baselines == nil {
			r.Rows[i].Baselines = map[Policy]float64{}
		}
		r.Rows[i].Baselines[p] = v
	}
}

// Met reports whether every row met its target. Rows without a target count as met.
func (r *Report) Met() bool {
	for _, row := range r.Rows {
		if !row.Met {
			return false
		}
	}
	return true
}

// WriteJSON writes the report as an indented document.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteTable writes the report as a text table, followed by its notes.
func (r *Report) WriteTable(w io.Writer) error {
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
			baselineCell(x.Baselines, FirstCome), baselineCell(x.Baselines, PerRouter), x.Unit)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, n := range r.Notes {
		fmt.Fprintln(w, n)
	}
	return nil
}

// baselineCell formats the figure of a baseline policy, or returns "" if there is none.
func baselineCell(baselines map[Policy]float64, p Policy) string {
	v, ok := baselines[p]
	if !ok {
		return ""
	}
	return fmt.Sprintf("%.4g", v)
}

// addServicePlot adds a plot of the service of each customer, from the samples of a meter
// whose Run has returned.
func (r *Report) addServicePlot(name string, m *Meter) {
	if r.plots == nil {
		r.plots = map[string][]series{}
	}
	for c := range m.service {
		s := series{name: CustomerName(c)}
		for n, row := range m.samples {
			s.points = append(s.points, plotter.XY{X: m.sampleTimes[n].Seconds(), Y: row[c]})
		}
		r.plots[name] = append(r.plots[name], s)
	}
}

// WritePlots writes each plot that addServicePlot added to the file PREFIX-NAME.png.
func (r *Report) WritePlots(prefix string) error {
	for name, list := range r.plots {
		p := plot.New()
		p.Title.Text = r.Experiment + ": " + name
		p.X.Label.Text = "seconds"
		p.Y.Label.Text = "service"
		for _, s := range list {
			line, err := plotter.NewLine(s.points)
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
