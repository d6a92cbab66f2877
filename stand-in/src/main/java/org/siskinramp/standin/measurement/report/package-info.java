/** The report on measured runs: medians and ranges, as log lines and as a page with charts. */
package org.siskinramp.standin.measurement.report;
