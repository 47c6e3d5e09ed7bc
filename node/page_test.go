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

// operatorsPagePath is the page that tells operators of every setting.
const operatorsPagePath = "../docs/OPERATORS.md"

// visitSettings calls visit with the path and default of each setting below v.
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

// formatDefault is how the page writes a default. Text without default is not shown.
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

// defaultCell returns the last but one cell of a row of the page's table.
func defaultCell(row string) string {
	cells := strings.Split(row, " | ")
	return strings.Trim(cells[max(len(cells)-2, 0)], "`")
}

func TestPageTellsEverySettingAndItsDefault(t *testing.T) {
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
		t.Errorf("the page does not tell of the setting %s", path)
	})
}

// metricNames are the names in backquotes on the page; "<...>" ends a name that
// stands for several.
var metricNames = regexp.MustCompile("`(vt_[a-z_]+)(<[a-z]+>)?`")

func TestPageTellsEveryMetric(t *testing.T) {
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
		t.Errorf("the page does not tell of the metric %s", name)
	})
}
