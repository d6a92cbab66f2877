/** Finds in log lines what became of a request, where there is no journal. */
package org.siskinramp.trace;
