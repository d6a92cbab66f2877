/** Measures how memory, processor time and messages grow with the size of a deployment. */
package org.siskinramp.standin.capacity;
