/** The pool of workers, which runs delayed tasks and hands messages on. */
package org.siskinramp.daemon.worker;
