package jsonc_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/jsonc"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestJSONC(t *testing.T) { testseed.RunSpecs(t, "jsonc") }

type document struct {
	Name   string            `json:"name"`
	Port   uint16            `json:"port"`
	On     bool              `json:"on"`
	Addr   netip.AddrPort    `json:"addr"`
	Wait   jsonc.Duration    `json:"wait"`
	Size   jsonc.Bytes       `json:"size"`
	Labels map[string]string `json:"labels"`
	Parts  []part            `json:"parts"`
	Extra  *part             `json:"extra"`
}

type part struct {
	ID int `json:"id"`
}

var _ = Describe("Decode", func() {
	// Guards against values that are lost or decoded into the wrong field.
	It("decodes comments, trailing commas and every supported type", func() {
		var got document
		doc := jsonc.Decode("a.json", []byte(`{
			// a comment
			"name": "n", "port": 7400, "on": true, "addr": "10.0.0.1:1", "wait": "500ms", "size": "64KiB",
			"labels": {"a": "b"}, "parts": [{"id": 1}, {"id": -2},], "extra": {"id": 3},
		}`), &got)
		Expect(doc.Err()).To(Succeed())
		Expect(got).To(Equal(document{
			Name: "n", Port: 7400, On: true, Addr: netip.MustParseAddrPort("10.0.0.1:1"),
			Wait: jsonc.Duration(500 * time.Millisecond), Size: 64 << 10, Labels: map[string]string{"a": "b"},
			Parts: []part{{1}, {-2}}, Extra: &part{3},
		}))
		Expect(doc.Has("parts[1].id")).To(BeTrue())
		Expect(doc.Has("parts[2].id")).To(BeFalse())
	})

	// Guards against a mistake that is accepted or reported at the wrong position.
	DescribeTable("reports the position, the value and what was expected",
		func(input string, want ...string) {
			var got document
			err := jsonc.Decode("a.json", []byte(input), &got).Err()
			var lines []string
			if problems, ok := err.(jsonc.Problems); ok {
				for _, p := range problems {
					lines = append(lines, p.String())
				}
			}
			Expect(lines).To(Equal(want))
		},
		Entry("unknown key", "{\n \"nam\": 1}",
			`a.json:2:2: nam: found "nam", expected one of the keys addr, extra, labels, name, on, parts, port, size, wait`),
		Entry("repeated key", `{"on": true, "on": false}`, `a.json:1:14: on: found "on", expected each key once`),
		Entry("duration without unit", `{"wait": 5}`,
			`a.json:1:10: wait: found 5, expected a duration with its unit, such as "500ms", "30s" or "5m"`),
		Entry("negative duration", `{"wait": "-5s"}`,
			`a.json:1:10: wait: found "-5s", expected a duration with its unit, such as "500ms", "30s" or "5m"`),
		Entry("size in another unit", `{"size": "5MB"}`,
			`a.json:1:10: size: found "5MB", expected a size with its unit, such as "512B", "64KiB" or "16MiB"`),
		Entry("size out of range", `{"size": "99999999999999GiB"}`,
			`a.json:1:10: size: found "99999999999999GiB", expected a size with its unit, such as "512B", "64KiB" or "16MiB"`),
		Entry("number out of range", `{"port": 70000}`, `a.json:1:10: port: found 70000, expected a whole number, at least 0`),
		Entry("null", `{"name": null}`, `a.json:1:10: name: found null, expected a string`),
		Entry("address", `{"addr": "x"}`,
			`a.json:1:10: addr: found "x", expected an IP address and port, such as "10.0.1.5:7400"`),
		Entry("column in characters", `{"labels": {"é": 1}}`, `a.json:1:18: labels.é: found 1, expected a string`),
		Entry("wrong kind", `{"parts": {}, "labels": []}`,
			`a.json:1:11: parts: found {}, expected an array`, `a.json:1:25: labels: found [], expected an object`),
		Entry("several in one pass", `{"parts": [{"id": "x"}, 7]}`,
			`a.json:1:19: parts[0].id: found "x", expected a whole number`,
			`a.json:1:25: parts[1]: found 7, expected an object`),
		Entry("syntax", "{\n  \"name\" 1}", "a.json:2:10: expected JSON with comments (invalid character '1' after object name)"),
	)

	// Guards against a problem without a position, because the value that the check expects is missing.
	It("reports a missing value at the position of the value around it", func() {
		var got document
		doc := jsonc.Decode("a.json", []byte("{\n\"extra\": {}}"), &got)
		doc.Report("extra.id", "a number for %s", "x")
		Expect(doc.Err()).To(MatchError("a.json:2:10: extra.id: expected a number for x"))
	})

	// Guards against a document that means something else after it was decoded and written again.
	It("writes durations and sizes that decode to the same value", func() {
		for _, size := range []jsonc.Bytes{0, 1, 1 << 10, 3 << 20, 5 << 30, 1500} {
			text, err := size.MarshalText()
			Expect(err).NotTo(HaveOccurred())
			var again jsonc.Bytes
			Expect(again.UnmarshalText(text)).To(Succeed())
			Expect(again).To(Equal(size))
		}
		text, err := jsonc.Duration(1500 * time.Millisecond).MarshalText()
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(Equal("1.5s"))
	})
})
