/** The clock that every decision reads. */
package org.siskinramp.time;
