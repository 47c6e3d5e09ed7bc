package version

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"
)

// FuzzValidate checks that Validate, Apply and Compile agree on whether a file is
// valid, and that errors name the file.
func FuzzValidate(f *testing.F) {
	f.Add(smallTemplate + "---\n" + smallOrganisation)
	f.Add("kind: organisation\nname: ${x}\n--- [\n")
	f.Add("a: |\n  ${\n...\n? {b: c}\n: !!int 3\n")
	f.Fuzz(func(t *testing.T, text string) {
		err := Validate([]File{{"f.yaml", text}})
		if err != nil && !strings.HasPrefix(err.Error(), "f.yaml:") {
			t.Fatalf("the error does not name the file: %v", err)
		}
		doc, applyErr := Apply(Document{}, Change{OperationID: "x", Files: []File{{"f.yaml", text}}}, testTime, "a")
		if (err == nil) != (applyErr == nil) {
			t.Fatalf("Validate returned %v, Apply returned %v", err, applyErr)
		}
		if applyErr != nil {
			return
		}
		if _, err := Compile(doc); err != nil {
			t.Fatalf("the accepted document does not compile: %v", err)
		}
	})
}

// FuzzDecode checks that Decode and Compile don't panic on untrusted data, and
// that a decoded document can be encoded.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"format":1,"version":3,"templates":[{"name":"a","text":"kind: template"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var packed bytes.Buffer
		w := gzip.NewWriter(&packed)
		_, _ = w.Write(text)
		_ = w.Close()
		for _, data := range [][]byte{text, packed.Bytes()} {
			doc, err := Decode(data)
			if err != nil {
				continue
			}
			_, _ = Compile(doc)
			if _, err := doc.Encode(); err != nil {
				t.Fatalf("the decoded document can't be encoded: %v", err)
			}
		}
	})
}
