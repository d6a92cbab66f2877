/** Small replacements for the systems that siskinramp meets, used in tests and measurements. */
package org.siskinramp.standin;
