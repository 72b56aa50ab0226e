package serverload_test

import (
	"testing"

	"bulrushtally/serverload"
)

// Fails if a figure is read into another one's place, or if a statement without the last figure, or with further ones, is rejected.
func TestParse(t *testing.T) {
	for s, want := range map[string]serverload.Statement{
		"3,0,6":                {Running: 3, Slots: 6},
		"6,2,6,140":            {Running: 6, Waiting: 2, Slots: 6, Percent: 140},
		" 6 , 2 ,\t6 , 97.25 ": {Running: 6, Waiting: 2, Slots: 6, Percent: 97},
		"0,0,1,100,7,0.5":      {Slots: 1, Percent: 100},
		"12,900,12,10":         {Running: 12, Waiting: 900, Slots: 12, Percent: 10},
	} {
		if got, ok := serverload.Parse(s); !ok || got != want {
			t.Errorf("%q: got %+v %v, want %+v", s, got, ok, want)
		}
	}
}

// Fails if a malformed or absurd header changes what is known of a server.
func TestParseRejects(t *testing.T) {
	for _, s := range []string{
		"", ",", "3", "3,0", "3,0,", "3,0,6,", "3,,6", "a,0,6", "3,0,6x", "-3,0,6", "+3,0,6", "3;0;6", "3 1,0,6", "1e3,0,6", "0x3,0,6", "3.5,0,6", "NaN,0,6", "3,0,6,NaN", "3,0,6,Inf",
		"3,0,6,100.", "3,0,6,.5", "3,0,6,100.5.5", "3,0,6,100,x", // malformed
		"3,0,0", "3,0,99999", "99,0,6", "3,999999,6", "3,0,6,0", "3,0,6,9", "3,0,6,2001", "9999999,0,6", "18446744073709551619,0,6", // absurd
		"3,0,6,100                                                          ", // long
	} {
		if got, ok := serverload.Parse(s); ok {
			t.Errorf("%q: got %+v, want it rejected", s, got)
		}
	}
}

// Fails if a header of any bytes makes Parse panic, or return figures beyond the bounds.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"3,0,6", "6,2,6,140", "3,0,6,100.5", ",,,", "9999999,1,1"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		st, ok := serverload.Parse(s)
		if ok && (st.Slots < 1 || st.Running < 0 || st.Waiting < 0 || st.Running > 4*st.Slots || st.Percent != 0 && (st.Percent < 10 || st.Percent > 2000)) {
			t.Errorf("%q: got %+v, want it rejected", s, st)
		}
	})
}

// Fails if parsing allocates: routers parse a header for each response.
func TestParseAllocatesNothing(t *testing.T) {
	if got := testing.AllocsPerRun(100, func() {
		serverload.Parse("6,2,6,140")
		serverload.Parse("6,2,6,absurd")
	}); got != 0 {
		t.Errorf("got %v allocations, want none", got)
	}
}

func BenchmarkParse(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := serverload.Parse("6,2,6,140"); !ok {
			b.Fatal("not parsed")
		}
	}
}
