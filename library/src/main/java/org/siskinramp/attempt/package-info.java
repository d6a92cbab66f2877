/** One try to run a request on a backend server, and what became of it. */
package org.siskinramp.attempt;
