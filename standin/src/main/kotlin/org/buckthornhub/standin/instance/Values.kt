package org.buckthornhub.standin.instance

import kotlinx.collections.immutable.PersistentMap

/** These values after [command]; a read changes nothing. */
internal fun PersistentMap<String, String>.after(command: Command): PersistentMap<String, String> = when (command) {
    is Command.Get -> this
    is Command.Put -> put(command.key, command.value)
    is Command.Append -> put(command.key, listOfNotNull(this[command.key], command.value).joinToString(","))
}
