package result_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/testseed"
)

func TestResult(t *testing.T) {
	testseed.RunSpecs(t, "result codes")
}

var _ = Describe("the table of result codes", func() {
	// Guards against a code without an explanation, which would leave operators without a next step.
	It("explains every constant", func() {
		file, err := parser.ParseFile(token.NewFileSet(), "result.go", nil, 0)
		Expect(err).NotTo(HaveOccurred())
		var names []string
		for _, decl := range file.Decls {
			group, ok := decl.(*ast.GenDecl)
			if !ok || group.Tok != token.CONST {
				continue
			}
			for _, spec := range group.Specs {
				names = append(names, spec.(*ast.ValueSpec).Names[0].Name)
			}
		}
		var explained []string
		for _, info := range result.Table() {
			explained = append(explained, info.Name)
		}
		Expect(explained).To(ConsistOf(names))
	})

	// Guards against an operators' page that differs from what the program prints.
	It("is the same as in docs/errors.md", func() {
		page, err := os.ReadFile("../../docs/errors.md")
		Expect(err).NotTo(HaveOccurred())
		Expect(strings.Contains(string(page), result.Markdown())).To(BeTrue(), "want this table in docs/errors.md:\n%s", result.Markdown())
	})
})

var _ = Describe("CodeOf", func() {
	// Guards against a wrong exit status, on which scripts rely: it comes from the code, also of a wrapped error.
	It("finds the code in a wrapped error", func() {
		err := errors.Wrap(result.New(result.RevisionConflict, "revision is %d", 7), "apply")
		Expect(result.CodeOf(err)).To(Equal(result.RevisionConflict))
		Expect(err.Error()).To(ContainSubstring("GGL-1003: revision is 7"))
	})

	// Guards against an error without a code that is reported as a success.
	It("returns Internal for an error without a code", func() {
		Expect(result.CodeOf(errors.New("boom"))).To(Equal(result.Internal))
		Expect(result.CodeOf(nil)).To(Equal(result.OK))
	})
})
