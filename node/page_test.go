package node

import (
	"fmt"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
)

// operatorsPagePath is the path of the page that documents all settings and
// metrics for operators.
const operatorsPagePath = "../docs/OPERATORS.md"

// visitSettings calls visit with the YAML path and the default of each setting
// in v.
func visitSettings(prefix string, v reflect.Value, visit func(path string, value any)) {
	for i := range v.NumField() {
		path := prefix + v.Type().Field(i).Tag.Get("yaml")
		if v.Field(i).Kind() == reflect.Struct {
			visitSettings(path+".", v.Field(i), visit)
			continue
		}
		visit(path, v.Field(i).Interface())
	}
}

// formatDefault formats a default as the page does.
func formatDefault(value any) string {
	switch v := value.(type) {
	case time.Duration:
		text := strings.TrimSuffix(v.String(), "m0s")
		if text != v.String() {
			text += "m"
		}
		return text
	case string:
		return v
	default:
		return fmt.Sprint(v)
	}
}

// defaultCell returns the last but one cell of a row of the page's table, which
// holds the default.
func defaultCell(row string) string {
	cells := strings.Split(row, " | ")
	return strings.Trim(cells[max(len(cells)-2, 0)], "`")
}

func TestPageDocumentsEverySettingAndDefault(t *testing.T) {
	page, err := os.ReadFile(operatorsPagePath)
	if err != nil {
		t.Fatal(err)
	}
	s := defaultSettings()
	visitSettings("", reflect.ValueOf(s), func(path string, value any) {
		for line := range strings.Lines(string(page)) {
			name, rest, _ := strings.Cut(line, " | ")
			if strings.HasPrefix(name, "| ") && strings.Contains(name, "`"+path+"`") {
				if got := defaultCell(rest); value != "" && got != formatDefault(value) {
					t.Errorf("the page's default of %s is %q, not %q", path, got, formatDefault(value))
				}
				return
			}
		}
		t.Errorf("the page does not document the setting %s", path)
	})
}

// metricNames matches the metrics in backquotes on the page. A name that ends with
// "<...>" stands for several metrics with this prefix.
var metricNames = regexp.MustCompile("`(vt_[a-z_]+)(<[a-z]+>)?`")

func TestPageDocumentsEveryMetric(t *testing.T) {
	page, err := os.ReadFile(operatorsPagePath)
	if err != nil {
		t.Fatal(err)
	}
	settings, err := ParseSettings([]byte(goodSettings))
	if err != nil {
		t.Fatal(err)
	}
	n, err := New(settings, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	n.registry.Each(func(name string, _ any) {
		name = "vt_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
		for _, match := range metricNames.FindAllStringSubmatch(string(page), -1) {
			whole := match[2] == "" && strings.TrimSuffix(match[1], "_seconds") == name
			if whole || match[2] != "" && strings.HasPrefix(name, match[1]) {
				return
			}
		}
		t.Errorf("the page does not document the metric %s", name)
	})
}
