/** Checks network addresses. */
package org.siskinramp.address;
