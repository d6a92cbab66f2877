/**
 * Messages between entry hosts.
 *
 * <p>Every message is a record whose components are {@code String}, {@code long}, {@code int},
 * {@code boolean}, {@code byte[]}, {@code double}, or a {@code List} of these or of such records,
 * so that one codec serves them all.
 *
 * <p>The versions of the platform's tables are positions of {@link
 * org.siskinramp.follow.StoreVersion}s.
 */
package org.siskinramp.peer;
