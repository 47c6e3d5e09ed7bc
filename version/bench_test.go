package version

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkCompile compiles documents with copies of the organisation of the
// kodumala example. It also reports the size of the encoded document.
func BenchmarkCompile(b *testing.B) {
	for _, organisations := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			files := exampleFiles(b, "kodumala")
			text := files[1].Text
			files = files[:1]
			for i := range organisations {
				renamed := strings.ReplaceAll(text, "kodumala", fmt.Sprintf("club-%d", i))
				files = append(files, File{Name: fmt.Sprintf("club-%d.yaml", i), Text: renamed})
			}
			doc, err := Apply(Document{}, Change{OperationID: "x", Files: files}, testTime, "asha")
			if err != nil {
				b.Fatal(err)
			}
			data, err := doc.Encode()
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for b.Loop() {
				if _, err := Compile(doc); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "encoded-bytes")
		})
	}
}

func BenchmarkRoute(b *testing.B) {
	snapshot, err := Compile(exampleDocument(b))
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, _, err := snapshot.Route("kodumala.example", "POST", "/entry-filing/entries"); err != nil {
			b.Fatal(err)
		}
	}
}
