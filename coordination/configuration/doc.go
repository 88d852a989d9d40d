// Package configuration decides which configuration is in force. Every process
// folds the same records in log order and so reaches the same verdicts: a sheet
// is accepted only on the base that it names, a standing decision of an operator
// outlives every sheet, a repeated record has one effect, and no record moves a
// State back to an earlier offset.
package configuration
