/** Numbered result codes and the failure that carries one. */
package org.siskinramp.result;
