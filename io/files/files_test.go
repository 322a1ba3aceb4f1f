package files

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
)

const (
	// inventory is a valid inventory file.
	inventory = `# Attica
[[FailureDomains]]
Name = "attica-a"
Region = "attica"

[[Services]]
Name = "orders"
Slots = 6
Connections = 130
`
	// rules is a valid rules file.
	rules = `[[Routes]]
Name = "orders"
PathPrefix = "/orders"
Service = "orders"
Class = "Action"
TimeoutMillis = 1_500
MaxAttempts = 2
`
)

// init fixes rapid's seed, so that every run tries the same cases. A -rapid.seed
// on the command line takes precedence.
func init() {
	err := errors.Join(flag.Set("rapid.seed", "20261204"), flag.Set("rapid.nofailfile", "true"), flag.Set("rapid.checks", "100"))
	if err != nil {
		panic(err)
	}
}

// parseText parses two texts.
func parseText(i, r string) (model.Configuration, error) {
	return Parse(Source{Name: "i.toml", Body: []byte(i)}, Source{Name: "r.toml", Body: []byte(r)})
}

// TestParse guards against a valid file that is refused or decoded incorrectly.
func TestParse(t *testing.T) {
	is := is.New(t)
	c, err := parseText(inventory, rules)
	is.NoErr(err)
	is.Equal(c, model.Configuration{
		Inventory: model.Inventory{
			FailureDomains: []model.FailureDomain{{Name: "attica-a", Region: "attica"}},
			Services:       []model.Service{{Name: "orders", Slots: 6, Connections: 130}},
		},
		Rules: model.Rules{Routes: []model.Route{{
			Name: "orders", PathPrefix: "/orders", Service: "orders", Class: model.Action,
			TimeoutMillis: 1500, MaxAttempts: 2,
		}}},
	})
	_, err = parseText("", "")
	is.NoErr(err)
}

// TestFaults guards against a fault that is not detected, hidden by another one,
// or reported without its line, key, value or allowed values.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		inventory, rules string
		want             []string
	}{
		"unknown keys and wrong types": {
			inventory: "Region = \"x\"\n[[Services]]\nName = 7\nSlots = \"six\"\nConnections = 1.5\nColour = \"red\"\na.b = 1\n",
			want: []string{
				`i.toml:1: Region = "x" is not allowed; allowed: tables [[FailureDomains]], [[Services]]`,
				`i.toml:3: Services.Name = 7 is not allowed; allowed: a string`,
				`i.toml:4: Services.Slots = "six" is not allowed; allowed: an integer`,
				`i.toml:5: Services.Connections = 1.5 is not allowed; allowed: an integer`,
				`i.toml:6: Services.Colour = "red" is not allowed; allowed: the keys Name, Slots, Connections`,
				`i.toml:7: Services.a.b = 1 is not allowed; allowed: the keys Name, Slots, Connections`,
			},
		},
		"missing keys": {
			inventory: inventory,
			rules:     "[[Routes]]\nName = \"r\"\n",
			want: []string{
				`r.toml:1: Routes.PathPrefix is missing or empty; allowed: a string`,
				`r.toml:1: Routes.Service is missing or empty; allowed: a string`,
				`r.toml:1: Routes.Class is missing or empty; allowed: Check, Action, Browse`,
				`r.toml:1: Routes.TimeoutMillis is missing or empty; allowed: a number of milliseconds`,
				`r.toml:1: Routes.MaxAttempts is missing or empty; allowed: an integer`,
			},
		},
		"wrong values in both files": {
			inventory: strings.Replace(inventory, "Slots = 6", "Slots = 0", 1),
			rules: strings.NewReplacer(`"/orders"`, `"orders"`, "1_500", "nan", "= 2", "= 9", `"Action"`, `"action"`).Replace(rules) +
				"HedgeAfterMillis = -2\nIdempotent = 1\n",
			want: []string{
				`i.toml:8: Services.Slots = 0 is not allowed; allowed: 1 to 100000`,
				`r.toml:3: Routes.PathPrefix = "orders" is not allowed; allowed: a path that starts with '/'`,
				`r.toml:5: Routes.Class = "action" is not allowed; allowed: Check, Action, Browse`,
				`r.toml:6: Routes.TimeoutMillis = nan is not allowed; allowed: a number of milliseconds`,
				`r.toml:7: Routes.MaxAttempts = 9 is not allowed; allowed: 1 to 5`,
				`r.toml:8: Routes.HedgeAfterMillis = -2 is not allowed; allowed: -1 to 120000`,
				`r.toml:9: Routes.Idempotent = 1 is not allowed; allowed: true or false`,
			},
		},
		"repeated names and keys": {
			inventory: inventory + "Slots = 7\n[[Services]]\nName = \"orders\"\nSlots = 0\nConnections = 5\n",
			rules:     rules + "\n" + rules,
			want: []string{
				`i.toml:10: Services.Slots = 7 is not allowed; allowed: each key once in a table`,
				`i.toml:12: Services.Name = "orders" is not allowed; allowed: a name that is used once`,
				`i.toml:13: Services.Slots = 0 is not allowed; allowed: 1 to 100000`,
				`r.toml:10: Routes.Name = "orders" is not allowed; allowed: a name that is used once`,
				`r.toml:11: Routes.PathPrefix = "/orders" is not allowed; allowed: a prefix that no other route has`,
			},
		},
		"route to a service of no inventory": {
			rules: rules,
			want:  []string{`r.toml:4: Routes.Service = "orders" is not allowed; allowed: a service of the inventory`},
		},
		"tables of other names or kinds": {
			inventory: "[Services]\nName = \"x\"\n[[Routes]]\nName = \"y\"\n[[services]]\n",
			want: []string{
				`i.toml:1: Services = [Services] is not allowed; allowed: tables [[FailureDomains]], [[Services]]`,
				`i.toml:3: Routes = [[Routes]] is not allowed; allowed: tables [[FailureDomains]], [[Services]]`,
				`i.toml:5: services = [[services]] is not allowed; allowed: tables [[FailureDomains]], [[Services]]`,
			},
		},
		"not TOML": {
			inventory: "[[Services]]\nName = \"orders\"\nSlots = \"x\"\nConnections = = 2\n",
			rules:     rules,
			want: []string{
				`i.toml:3: Services.Slots = "x" is not allowed; allowed: an integer`,
				`i.toml:4: the file is not TOML: unexpected character U+003D '=' at start of value`,
			},
		},
		"values of many lines": {
			inventory: "[[Services]]\nName = [1,\n2]\nSlots = {a = 1}\nConnections = 1\nMore = \"\"\"x\ny\"\"\"\n",
			want: []string{
				`i.toml:2: Services.Name = [...] is not allowed; allowed: a string`,
				`i.toml:4: Services.Slots = {...} is not allowed; allowed: an integer`,
				`i.toml:6: Services.More = """x is not allowed; allowed: the keys Name, Slots, Connections`,
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := parseText(c.inventory, c.rules)
			var faults Faults
			is.True(errors.As(err, &faults))
			var got []string
			for _, f := range faults {
				got = append(got, f.String())
			}
			is.Equal(strings.Join(got, "\n"), strings.Join(c.want, "\n"))
		})
	}
}

// TestLoad guards against a file that is read without a bound on its size.
func TestLoad(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	i, r := filepath.Join(dir, "i.toml"), filepath.Join(dir, "r.toml")
	is.NoErr(os.WriteFile(i, []byte(inventory), 0o600))
	_, err := Load(i, r)
	is.True(errors.Is(err, os.ErrNotExist))
	is.NoErr(os.WriteFile(r, []byte(rules), 0o600))
	_, err = Load(i, r)
	is.NoErr(err)
	is.NoErr(os.WriteFile(r, []byte(strings.Repeat("#\n", maxFileBytes/2+1)), 0o600))
	_, err = Load(i, r)
	is.True(err != nil)
}

// TestFormat guards against a configuration that changes when it is written and
// read again.
func TestFormat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c model.Configuration
		for i := range rapid.IntRange(0, 4).Draw(t, "services") {
			slots := ident.Slots(rapid.IntRange(1, 9).Draw(t, "slots"))
			name := ident.ServiceName(fmt.Sprintf("s%d", i))
			c.Inventory.Services = append(c.Inventory.Services, model.Service{Name: name, Slots: slots, Connections: 100})
			c.Inventory.FailureDomains = append(c.Inventory.FailureDomains, model.FailureDomain{
				Name: ident.FailureDomain(fmt.Sprintf("d%d", i)), Region: "r",
			})
			c.Rules.Routes = append(c.Rules.Routes, model.Route{
				Name: ident.RouteName(fmt.Sprintf("r%d", i)), Service: name,
				PathPrefix: "/" + rapid.StringN(0, 8, -1).Draw(t, "prefix") + fmt.Sprintf("/%d", i),
				Class:      model.Class(rapid.IntRange(0, 2).Draw(t, "class")), Idempotent: rapid.Bool().Draw(t, "idempotent"),
				TimeoutMillis: clock.Millis(rapid.Float64Range(1e-9, model.MaxTimeoutMillis).Draw(t, "timeout")), MaxAttempts: 2,
				HedgeAfterMillis: clock.Millis(rapid.Float64Range(-1, 1000).Draw(t, "hedge")),
			})
		}
		i, r, err := Format(c)
		if err != nil {
			t.Fatal(err)
		}
		got, err := parseText(string(i), string(r))
		if err != nil {
			t.Fatalf("%v\n%s%s", err, i, r)
		}
		if changes := model.Diff(c, got); len(changes) > 0 {
			t.Fatalf("changes: %+v", changes)
		}
	})
}

// FuzzParse guards against a panic on any input, a fault without file and line, and a
// configuration that is accepted although it is invalid.
func FuzzParse(f *testing.F) {
	f.Add([]byte(inventory), []byte(rules))
	f.Add([]byte("[[Services]]\nName = \"a\"\nName = 1\n[[Services.X]]\n"), []byte("[[Routes]]\nClass = \"\\u0041\"\n"))
	f.Add([]byte(""), []byte(teams+"[[Teams]]\nName = \"x\"\nKeys = [\"k-1\", \"k-1\"]\nRequestsPerSecond = -0.0\n"))
	f.Add([]byte("a = [\n"), []byte("\"\" = 1\n[x"))
	f.Fuzz(func(t *testing.T, i, r []byte) {
		c, err := Parse(Source{Name: "i", Body: i}, Source{Name: "r", Body: r})
		if err == nil {
			if err := c.Validate(); err != nil {
				t.Errorf("accepted: %v", err)
			}
			return
		}
		var faults Faults
		if !errors.As(err, &faults) || len(faults) == 0 {
			t.Fatalf("not faults: %v", err)
		}
		for _, fault := range faults {
			if fault.File == "" || fault.Allowed == "" || fault.Line < 1 {
				t.Errorf("fault %+v has no file, line or allowed values", fault)
			}
		}
	})
}
