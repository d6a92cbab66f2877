/** The report on measured runs: medians and spreads, a page and pictures. */
package org.siskinramp.standin.measurement.report;
