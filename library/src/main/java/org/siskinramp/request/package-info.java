/** A caller's request and its answer. */
package org.siskinramp.request;
