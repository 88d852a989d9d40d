// Package configuration decides which configuration is in force. Every process applies the same
// records in log order and so reaches the same verdicts. A sheet is accepted only if the
// revision that it names as its base is in force. An operator's decision on a failure domain or
// an instance stays in force under later sheets. A repeated record has one effect, and no record
// moves a State back to an earlier offset.
package configuration
